package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: clients that stop in the middle of a request and stay. */
final class StalledClients {
    private static final int STALLED_CLIENTS = 500;
    private static final int BODY = 64 << 10; // the most that a body may hold
    private static final int HELD_BACK = 100; // bytes of the body that do not come
    private static final int USUAL_CLIENTS = 10;

    private StalledClients() {}

    public static void main(String[] args) throws Exception {
        Rig.run(args[0], StalledClients::run);
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

        AtomicInteger ok = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            long customer = 1000 + i;
            Rig.thread("client", () -> {
                try (Client client = new Client(door.address, customer)) {
                    while (true) {
                        Client.Result result = client.send(3000, 0.5);
                        boolean good = result.answer() != null && result.answer().status() == 200;
                        (good ? ok : failed).incrementAndGet();
                        if (result.answer() == null) {
                            Rig.note("request " + result.traceId() + " has no answer: " + result.ending());
                        }
                        Rig.sleep(0.2);
                    }
                }
            });
        }
        Rig.sleep(4);
        List<Socket> stalled = new ArrayList<>();
        if (Rig.TROUBLE) {
            byte[] part = new byte[BODY - HELD_BACK];
            for (int i = 0; i < STALLED_CLIENTS; i++) {
                Socket socket = new Socket();
                stalled.add(socket);
                socket.connect(door.address, 1000);
            }
            Rig.sleep(0.3);
            for (int i = 0; i < STALLED_CLIENTS && door.isRunning(); i++) {
                try {
                    stalled.get(i).getOutputStream().write(
                            Http.bytes(Client.head(Client.newTraceId(), 5000 + i, true, BODY, 3000)));
                    stalled.get(i).getOutputStream().write(part);
                } catch (IOException e) {
                    Rig.note("stalled client " + i + ": " + e);
                }
            }
            Rig.note(stalled.size() + " clients have sent all but " + HELD_BACK + " bytes of a request, and stay");
        }
        for (int i = 0; i < 80 && door.isRunning(); i++) {
            Rig.sleep(0.1);
        }
        boolean alive = door.isRunning();
        Rig.note("usual requests answered with 200: " + ok + ", not: " + failed);
        Rig.note(alive ? "the front door runs" : "the front door has ended, exit code " + door.exitCode());
        door.noteLog();
        for (Socket socket : stalled) {
            socket.close();
        }
        return alive;
    }
}
