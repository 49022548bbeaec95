package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: clients come by the hundred, each writes half a request and stays; the same again every 6 s. */
final class HalfWrittenClients {
    private static final int BAD_CLIENTS = 1000;
    private static final int USUAL_CLIENTS = 24;
    private static final double QUIET = 4;
    private static final Path SOMAXCONN = Path.of("/proc/sys/net/core/somaxconn"); // only read
    private static final int WAVES = 4;
    private static final double WAVE = 6;
    private static final double PLAY = QUIET + WAVES * WAVE;
    private static final long SHORTEST_PATIENCE_MS = 1500; // half of the method's deadline of 3 s
    private static final long DEADLINE_MS = 3000;
    private static final double FINAL_ANSWER_GRACE = 0.5 + 0.05; // only then a request is lost; 50 ms more on sockets

    private static final AtomicInteger IN_TIME = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger SHUT = new AtomicInteger();
    private static final AtomicInteger TURNED_AWAY = new AtomicInteger();

    private HalfWrittenClients() {}

    public static void main(String[] args) throws Exception {
        Rig.run(args[0], HalfWrittenClients::run);
    }

    private static boolean run(Path temporary) throws Exception {
        if (Integer.parseInt(Files.newBufferedReader(SOMAXCONN).readLine().strip()) < BAD_CLIENTS + USUAL_CLIENTS) {
            throw new IOException("this machine does not accept as many connections as the case needs");
        }
        Discovery discovery = new Discovery();
        Counter counter = new Counter();
        for (int i = 0; i < 6; i++) {
            Backend backend = new Backend("b" + i, 0.11, 0.19);
            backend.start();
            discovery.put(backend.name, backend.address(), "in_service");
        }
        discovery.start();
        counter.start();
        FrontDoor door = new FrontDoor(temporary);
        door.configure(Config.text(door, discovery, counter));
        door.start();
        door.awaitReady();
        double until = Rig.seconds() + PLAY;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            long customer = 1000 + i;
            clients.add(Rig.thread("client", () -> sendUntil(until, door, customer)));
        }
        Rig.sleep(QUIET);
        Rig.note("before the bad clients: " + tally());
        for (int wave = 0; wave < WAVES && Rig.TROUBLE; wave++) {
            Rig.note(BAD_CLIENTS + " bad clients connect");
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Rig.thread("bad client", () -> writeHalf(door));
            }
            Rig.sleep(WAVE);
            Rig.note("bad clients that were turned away so far: " + TURNED_AWAY + "; usual requests: " + tally());
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.note("usual requests in all: " + tally());
        door.noteLog();
        if (!door.isRunning()) {
            throw new IOException("the front door has ended");
        }
        return LOST.get() == 0;
    }

    private static String tally() {
        return IN_TIME + " answered in time, " + LATE + " later, " + LOST + " lost, " + SHUT
                + " shut or refused without an answer (not judged)";
    }

    private static void sendUntil(double until, FrontDoor door, long customer) {
        try (Client client = new Client(door.address, customer)) {
            while (Rig.seconds() < until) {
                long patienceMs = ThreadLocalRandom.current().nextLong(SHORTEST_PATIENCE_MS, DEADLINE_MS + 1);
                Client.Result result = client.send(patienceMs, FINAL_ANSWER_GRACE);
                double took = result.endedAt() - result.sentAt();
                if (result.answer() != null) {
                    (took > patienceMs / 1e3 ? LATE : IN_TIME).incrementAndGet();
                } else if (result.timedOut()) {
                    LOST.incrementAndGet();
                    Rig.note("request " + result.traceId() + " of " + patienceMs + " ms is LOST: no answer " + took
                            + " s after it was sent");
                } else {
                    SHUT.incrementAndGet();
                    Rig.note("request " + result.traceId() + ": " + result.ending());
                }
                Rig.sleep(ThreadLocalRandom.current().nextDouble(0.05, 0.25));
            }
        }
    }

    private static void writeHalf(FrontDoor door) {
        try (Socket socket = new Socket()) {
            socket.connect(door.address, 3000);
            String head = Client.head(Client.newTraceId(), 1, false, 0, DEADLINE_MS);
            socket.getOutputStream().write(Http.bytes(head.substring(0, head.length() / 2)));
            while (socket.getInputStream().read() >= 0) {
                // Reads the error that it is sent, until the connection ends.
            }
            TURNED_AWAY.incrementAndGet();
        } catch (IOException e) {
            Rig.note("bad client: " + e);
        }
    }
}
