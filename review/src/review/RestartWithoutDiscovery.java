package review;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: a front door is killed and starts again while discovery is down; clients have not noticed yet. */
final class RestartWithoutDiscovery {
    private static final double OUTAGE = 8; // of discovery
    private static final double UNNOTICED = 2.5; // how long requests go on coming to the dead front door
    private static final long SHORTEST_PATIENCE_MS = 1500; // half of the method's deadline of 3 s
    private static final long DEADLINE_MS = 3000;
    private static final double FINAL_ANSWER_GRACE = 0.5 + 0.05; // only then a request is lost; 50 ms more on sockets
    private static final int CLIENTS = 12;

    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();

    private RestartWithoutDiscovery() {}

    public static void main(String[] args) throws Exception {
        Rig.run(args[0], RestartWithoutDiscovery::run);
    }

    private static boolean run(Path temporary) throws Exception {
        Discovery discovery = new Discovery();
        Counter counter = new Counter();
        for (int i = 0; i < 4; i++) {
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
        sendUntil(Rig.seconds() + 4, door);
        Rig.note("before the kill: " + tally());

        ANSWERED.set(0);
        double killedAt = Rig.seconds();
        if (Rig.TROUBLE) {
            discovery.setDown(true);
            Rig.note("discovery is down for " + OUTAGE + " s");
            Rig.thread("outage", () -> {
                Rig.sleep(OUTAGE);
                discovery.setDown(false);
                Rig.note("discovery is back");
            });
        }
        door.kill();
        Rig.note("front door killed");
        door.start();
        sendUntil(killedAt + UNNOTICED, door);
        Rig.note("sent to the restarted front door while nobody had noticed: " + tally());
        boolean held = LOST.get() == 0;

        door.awaitReady();
        Rig.note("ready " + (Rig.seconds() - killedAt) + " s after the kill");
        sendUntil(Rig.seconds() + 3, door);
        Rig.note("in all after the kill: " + tally());
        door.noteLog();
        return held && LOST.get() == 0;
    }

    private static String tally() {
        return ANSWERED + " answered, " + LATE + " of them after the client's time, " + LOST + " lost";
    }

    private static void sendUntil(double until, FrontDoor door) throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            long customer = 1000 + i;
            clients.add(Rig.thread("client", () -> {
                while (Rig.seconds() < until) {
                    send(door, customer);
                    Rig.sleep(ThreadLocalRandom.current().nextDouble(0.05, 0.15));
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    /** Sends one request on a new connection. A connection that is refused has not been accepted: no request is sent. */
    private static void send(FrontDoor door, long customer) {
        String traceId = Client.newTraceId();
        long patienceMs = ThreadLocalRandom.current().nextLong(SHORTEST_PATIENCE_MS, DEADLINE_MS + 1);
        try (Socket socket = new Socket()) {
            try {
                socket.connect(door.address, 1000);
            } catch (IOException e) {
                return;
            }
            double sentAt = Rig.seconds();
            Rig.note("request " + traceId + " of " + patienceMs + " ms is sent");
            socket.getOutputStream().write(Http.bytes(Client.head(traceId, customer, false, 0, patienceMs)));
            String ending = "no answer";
            try {
                socket.setSoTimeout((int) (patienceMs + FINAL_ANSWER_GRACE * 1000));
                Http.Message answer = Http.read(socket.getInputStream());
                if (answer != null) {
                    ANSWERED.incrementAndGet();
                    double took = Rig.seconds() - sentAt;
                    boolean late = took > patienceMs / 1e3;
                    LATE.addAndGet(late ? 1 : 0);
                    Rig.note("request " + traceId + " is answered: " + answer.status() + " after " + took + " s"
                            + (late ? ", after its client's time" : ""));
                    return;
                }
                ending = "the connection was closed without an answer";
            } catch (SocketTimeoutException e) {
                // As it says above.
            }
            LOST.incrementAndGet();
            Rig.note("request " + traceId + " of " + patienceMs + " ms, sent at " + sentAt + ", is LOST: " + ending
                    + " " + (Rig.seconds() - sentAt) + " s later");
        } catch (IOException e) {
            LOST.incrementAndGet();
            Rig.note("request " + traceId + " of " + patienceMs + " ms is LOST: " + e);
        }
    }
}
