package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A bad client sends hundreds of requests at once, and the same again as soon as they are turned away. */
final class TurnedAwayAgain implements Case.Body {
    private static final int CONNECTIONS = 4;
    private static final int REQUESTS_AT_ONCE = 200;
    private static final int DEADLINE_MS = 60_000;
    private static final int USUAL_CLIENTS = 4;
    private static final int SECONDS = 75;
    private static final int QUIET_SECONDS = 30;

    private final AtomicLong ids = new AtomicLong();
    private final AtomicLong badSent = new AtomicLong();
    private final AtomicLong badAnswered = new AtomicLong();
    private final AtomicLong usualSent = new AtomicLong();
    private final AtomicLong usualServed = new AtomicLong();

    @Override
    public int run(Path root, Path temporary, Record record, boolean trouble) throws Exception {
        AtomicLong run = new AtomicLong();
        Backend backend = new Backend((request, socket, out) -> {
            run.incrementAndGet();
            Thread.sleep(5);
            Backend.ok(out, request.field("X-Trace-Id"));
            return true;
        });
        List<String> hosts = List.of(Discovery.host("s-0", backend.address()));
        Discovery discovery = new Discovery(hosts);
        Counter counter = new Counter();
        String configuration = FrontDoor.configuration(
                discovery,
                counter,
                Discovery.list(hosts),
                List.of(FrontDoor.lane("report", 1200, DEADLINE_MS, "retryable", 0.2)));
        try (FrontDoor door = new FrontDoor(root, temporary, configuration)) {
            door.awaitReady();
            for (int i = 0; i < USUAL_CLIENTS; i++) {
                long customer = 500 + i;
                Threads.start("usual", () -> sendAsUsual(door, customer));
            }
            for (int i = 0; trouble && i < CONNECTIONS; i++) {
                Threads.start("bad", () -> sendAgain(door));
            }
            Integer exit = null;
            for (int second = 0; exit == null && second < (trouble ? SECONDS : QUIET_SECONDS); second++) {
                exit = door.exitCode(1000);
                record.line("bad client: sent " + badSent + ", answered " + badAnswered + "; usual clients: sent "
                        + usualSent + ", served " + usualServed + "; run " + run + "; front door "
                        + (exit == null ? "runs" : "has ended with exit code " + exit));
            }
            String log = Files.readString(door.log);
            log.lines().filter(line -> line.contains("OutOfMemory")).forEach(line -> record.line("its log: " + line));
            if (usualServed.get() == 0 || (trouble && badAnswered.get() == 0)) {
                System.out.println(log);
                return 2;
            }
            return record.verdict(
                    exit != null, exit == null ? "the front door runs" : "the front door crashed, exit code " + exit);
        }
    }

    private void sendAgain(FrontDoor door) throws Exception {
        while (door.process.isAlive()) {
            try (Socket socket = door.connect()) {
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    ByteArrayOutputStream batch = new ByteArrayOutputStream();
                    for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                        String id = "b" + ids.incrementAndGet();
                        batch.writeBytes(FrontDoor.request(id, "report", 77, "basis", DEADLINE_MS, -1));
                    }
                    socket.getOutputStream().write(batch.toByteArray());
                    badSent.addAndGet(REQUESTS_AT_ONCE);
                    for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                        if (Http.read(in) == null) {
                            throw new IOException("closed");
                        }
                        badAnswered.incrementAndGet();
                    }
                }
            } catch (IOException e) {
                Thread.sleep(50); // then it connects again
            }
        }
    }

    private void sendAsUsual(FrontDoor door, long customer) throws Exception {
        while (door.process.isAlive()) {
            try (Socket socket = door.connect()) {
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    String id = "u" + ids.incrementAndGet();
                    socket.getOutputStream().write(FrontDoor.request(id, "report", customer, "plus", DEADLINE_MS, -1));
                    usualSent.incrementAndGet();
                    Http.Message answer = Http.read(in);
                    if (answer == null) {
                        throw new IOException("closed");
                    }
                    usualServed.addAndGet(answer.status() == 200 ? 1 : 0);
                    Thread.sleep(100);
                }
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
    }
}
