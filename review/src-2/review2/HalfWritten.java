package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Half-written connections, whose clients go on writing slowly, hold all of a front door's descriptors. */
final class HalfWritten implements Case.Body {
    private static final int SLOW_CLIENTS = 1000;
    private static final int USUAL_CLIENTS = 20;
    private static final int SOCKETS = 512;
    private static final int DEADLINE_MS = 3000;
    private static final int LIMIT_MS = 550; // half a second, and the 50 ms by which limits are longer on sockets
    private static final int BYTE_EVERY_MS = 100;
    private static final int SECONDS = 30;

    private final AtomicLong slowConnections = new AtomicLong();
    private final AtomicLong ids = new AtomicLong();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicLong worstMs = new AtomicLong();

    @Override
    public int run(Path root, Path temporary, Record record, boolean trouble) throws Exception {
        Backend backend = new Backend((request, socket, out) -> {
            Thread.sleep(10);
            Backend.ok(out, request.field("X-Trace-Id"));
            return true;
        });
        List<String> hosts =
                List.of(Discovery.host("s-0", backend.address()), Discovery.host("s-1", backend.address()));
        Discovery discovery = new Discovery(hosts);
        Counter counter = new Counter();
        String configuration = FrontDoor.configuration(
                        discovery,
                        counter,
                        Discovery.list(hosts),
                        List.of(FrontDoor.lane("area-status", 1200, DEADLINE_MS, "retryable", 0.2)))
                .replace("\"sockets\":1024", "\"sockets\":" + SOCKETS);
        try (FrontDoor door = new FrontDoor(root, temporary, configuration)) {
            door.awaitReady();
            if (trouble) {
                Threads.start("slow", () -> writeSlowly(door));
            }
            Thread.sleep(500);
            for (int i = 0; i < USUAL_CLIENTS; i++) {
                long customer = 1000 + i;
                Threads.start("usual", () -> sendOnNewConnections(door, customer, record));
            }
            for (int second = 0; second < SECONDS; second++) {
                Thread.sleep(1000);
                record.line("slow connections so far " + slowConnections + "; usual requests sent " + ids
                        + ", answered " + answered + ", served " + served + ", too late " + late);
            }
            if (!door.process.isAlive() || answered.get() == 0) {
                return 2;
            }
        }
        return record.verdict(
                late.get() > 0,
                late + " of " + ids + " usual requests were answered more than " + LIMIT_MS
                        + " ms after their time; the slowest answer took " + worstMs + " ms of " + DEADLINE_MS);
    }

    /** Writes a byte of each connection's request every now and then, and opens a new one when one is closed. */
    private void writeSlowly(FrontDoor door) throws InterruptedException {
        byte[] request = FrontDoor.request("slow", "area-status", 78, "plus", DEADLINE_MS, -1);
        SocketChannel[] channels = new SocketChannel[SLOW_CLIENTS];
        int[] written = new int[SLOW_CLIENTS];
        ByteBuffer answer = ByteBuffer.allocate(1024);
        while (door.process.isAlive()) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < SLOW_CLIENTS; i++) {
                try {
                    if (channels[i] == null) {
                        channels[i] = SocketChannel.open();
                        channels[i].configureBlocking(false);
                        channels[i].connect(new InetSocketAddress("127.0.0.1", door.port));
                        written[i] = 0;
                        slowConnections.incrementAndGet();
                    }
                    if (channels[i].isConnected() || channels[i].finishConnect()) {
                        answer.clear();
                        if (channels[i].read(answer) != 0) {
                            channels[i].close();
                            channels[i] = null;
                        } else if (written[i] < request.length / 2) {
                            written[i] += channels[i].write(ByteBuffer.wrap(request, written[i], 1));
                        }
                    }
                } catch (IOException e) {
                    channels[i] = null;
                }
            }
            Thread.sleep(Math.max(1, BYTE_EVERY_MS - (System.nanoTime() - startNanos) / 1_000_000));
        }
    }

    private void sendOnNewConnections(FrontDoor door, long customer, Record record) throws Exception {
        while (door.process.isAlive()) {
            String id = "u" + ids.incrementAndGet();
            try (Socket socket = door.connect()) {
                socket.setSoTimeout(DEADLINE_MS + 20_000);
                socket.getOutputStream()
                        .write(FrontDoor.request(id, "area-status", customer, "plus", DEADLINE_MS, -1));
                long writtenNanos = System.nanoTime();
                Http.Message message = Http.read(new BufferedInputStream(socket.getInputStream()));
                long tookMs = (System.nanoTime() - writtenNanos) / 1_000_000;
                if (message != null) {
                    answered.incrementAndGet();
                    served.addAndGet(message.status() == 200 ? 1 : 0);
                    worstMs.accumulateAndGet(tookMs, Math::max);
                    boolean tooLate = tookMs > DEADLINE_MS + LIMIT_MS;
                    late.addAndGet(tooLate ? 1 : 0);
                    record.line(id + ": " + message.status() + " after " + tookMs + " ms" + (tooLate ? ", LOST" : ""));
                } else {
                    record.line(id + ": closed unread after " + tookMs + " ms");
                }
            } catch (SocketTimeoutException e) {
                late.incrementAndGet();
                record.line(id + ": no answer within " + (DEADLINE_MS + 20_000) + " ms, LOST");
            } catch (IOException e) {
                record.line(id + ": " + e.getMessage());
            }
            Thread.sleep(100);
        }
    }
}
