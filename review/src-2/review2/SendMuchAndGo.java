package review2;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/** Some clients send much at once and go. */
final class SendMuchAndGo implements Case.Body {
    private static final int CLIENTS = 40;
    private static final int ROUNDS = 5;
    private static final int BYTES = 3_000_000;
    private static final int DEADLINE_MS = 4000;
    // The rule's 0.1 s, and the 50 ms by which every time limit is longer on sockets.
    private static final long LIMIT_MS = 150;

    @Override
    public int run(Path root, Path temporary, Record record, boolean trouble) throws Exception {
        Map<String, Long> runAtNanos = new ConcurrentHashMap<>();
        Map<String, Long> leftAtNanos = new ConcurrentHashMap<>();
        Backend backend = new Backend((request, socket, out) -> {
            runAtNanos.putIfAbsent(request.field("X-Trace-Id"), System.nanoTime());
            Thread.sleep(20);
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
                List.of(FrontDoor.lane("photo", 1200, DEADLINE_MS, "retryable", 0.2)));
        ByteBuffer more = ByteBuffer.allocateDirect(BYTES + 1000);
        for (int i = 0; more.position() < BYTES; i++) {
            more.put(FrontDoor.request("more" + i, "photo", 78, "plus", DEADLINE_MS, -1));
        }
        more.flip();
        int late = 0;
        long worstMs = 0;
        try (FrontDoor door = new FrontDoor(root, temporary, configuration)) {
            door.awaitReady();
            for (int round = 0; round < ROUNDS; round++) {
                CountDownLatch start = new CountDownLatch(1);
                List<Thread> threads = new ArrayList<>();
                List<String> ids = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    String id = "c" + round + "x" + i;
                    long customer = 1000 + i;
                    ids.add(id);
                    threads.add(Threads.start("client", () -> {
                        start.await();
                        byte[] first = FrontDoor.request(id, "photo", customer, "plus", DEADLINE_MS, -1);
                        if (trouble) {
                            sendAndGo(door, first, more.duplicate());
                            leftAtNanos.put(id, System.nanoTime());
                        } else {
                            sendAndStay(door, first);
                        }
                    }));
                }
                start.countDown();
                for (Thread thread : threads) {
                    thread.join();
                }
                Thread.sleep(2000);
                for (String id : ids) {
                    Long run = runAtNanos.get(id);
                    Long left = leftAtNanos.get(id);
                    long afterMs = run == null || left == null ? 0 : (run - left) / 1_000_000;
                    record.line(id + (left == null ? " stayed" : " left") + (run == null ? ", did not run" : ", ran")
                            + (afterMs > 0 ? " " + afterMs + " ms after its client had closed" : ""));
                    late += afterMs > LIMIT_MS ? 1 : 0;
                    worstMs = Math.max(worstMs, afterMs);
                }
            }
            if (!door.process.isAlive() || (!trouble && runAtNanos.size() < CLIENTS * ROUNDS / 2)) {
                return 2;
            }
        }
        return record.verdict(
                late > 0,
                late + " of " + CLIENTS * ROUNDS + " requests began at a backend more than " + LIMIT_MS
                        + " ms after their clients had closed; the latest " + worstMs + " ms after");
    }

    /** Writes as much as the system takes at once, and closes. */
    private static void sendAndGo(FrontDoor door, byte[] first, ByteBuffer more) throws Exception {
        try (SocketChannel channel = SocketChannel.open(new InetSocketAddress("127.0.0.1", door.port))) {
            channel.configureBlocking(false);
            channel.write(new ByteBuffer[] {ByteBuffer.wrap(first), more});
        }
    }

    private static void sendAndStay(FrontDoor door, byte[] first) throws Exception {
        try (java.net.Socket socket = door.connect()) {
            socket.getOutputStream().write(first);
            Http.read(socket.getInputStream());
        }
    }
}
