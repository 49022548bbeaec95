package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: some answers come a second time, some milliseconds late, while nothing else waits on the connection. */
final class LateSecondAnswer {
    private static final int BACKENDS = 6;
    private static final double SHARE = 0.1; // of the answers that come a second time
    private static final double LATE = 0.005; // after the first
    private static final double ONE_WAY = 0.00015; // the way to a backend, always, less what loopback adds
    private static final int CLIENTS = 24;
    private static final double PLAY = 30;
    private static final AtomicInteger SECOND_ANSWERS = new AtomicInteger();

    private LateSecondAnswer() {}

    public static void main(String[] args) throws Exception {
        Rig.run(args[0], LateSecondAnswer::run);
    }

    private static final class RepeatingBackend extends Backend {
        RepeatingBackend(String name) throws IOException {
            super(name, 0.11, 0.19);
        }

        @Override
        void answered(Http.Message request, InputStream in, OutputStream out) throws IOException {
            if (Rig.TROUBLE && ThreadLocalRandom.current().nextDouble() < SHARE) {
                Rig.sleep(LATE);
                if (in.available() == 0) {
                    String traceId = request.field("x-trace-id");
                    out.write(Http.answer(200, "", bodyFor(traceId)));
                    SECOND_ANSWERS.incrementAndGet();
                    Rig.note("backend " + name + " answers " + traceId + " a second time");
                }
            }
        }
    }

    private static boolean run(Path temporary) throws Exception {
        Rig.note("the way to a backend takes " + DelayLine.measureMs(ONE_WAY) + " ms (the site states 0.16 to 0.32)");
        Discovery discovery = new Discovery();
        Counter counter = new Counter();
        for (int i = 0; i < BACKENDS; i++) {
            Backend backend = new RepeatingBackend("b" + i);
            backend.start();
            DelayLine path = new DelayLine(backend.address(), ONE_WAY);
            path.start();
            discovery.put(backend.name, path.address(), "in_service");
        }
        discovery.start();
        counter.start();
        FrontDoor door = new FrontDoor(temporary);
        door.configure(Config.text(door, discovery, counter));
        door.start();
        door.awaitReady();

        AtomicInteger own = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        double until = Rig.seconds() + PLAY;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            long customer = 1000 + i;
            clients.add(Rig.thread("client", () -> {
                try (Client client = new Client(door.address, customer)) {
                    while (Rig.seconds() < until) {
                        Client.Result result = client.send(3000, 0.5);
                        if (result.answer() == null || result.answer().status() != 200) {
                            others.incrementAndGet();
                        } else if (result.answer().text().equals(Backend.bodyFor(result.traceId()))) {
                            own.incrementAndGet();
                        } else {
                            foreign.incrementAndGet();
                            Rig.note("client of " + result.traceId() + " got 200 with a body "
                                    + result.answer().text());
                        }
                        Rig.sleep(ThreadLocalRandom.current().nextDouble(0.05, 0.25));
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.note("second answers: " + SECOND_ANSWERS + "; clients got their own answer: " + own
                + ", another client's: " + foreign + ", no 200: " + others);
        door.noteLog();
        return foreign.get() == 0;
    }
}
