package review2;

import java.io.BufferedInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that sent much at once have left, and come again with the id of a request that must not run twice. */
final class ComesAgain implements Case.Body {
    private static final int CLIENTS = 60;
    private static final int ROUNDS = 5;
    private static final int BYTES = 3_000_000;
    private static final int DEADLINE_MS = 4000;
    private static final int AGAIN_AFTER_MS = 20;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    @Override
    public int run(Path root, Path temporary, Record record, boolean trouble) throws Exception {
        Backend backend = new Backend((request, socket, out) -> {
            String id = request.field("X-Trace-Id");
            int count = runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
            record.line("run " + id + (count > 1 ? ", for the " + count + ". time" : ""));
            Thread.sleep(20);
            Backend.ok(out, id);
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
                List.of(
                        FrontDoor.lane("status", 1200, DEADLINE_MS, "retryable", 0.2),
                        FrontDoor.lane("alert", 1200, DEADLINE_MS, "fragile", 0.2)));
        ByteBuffer more = ByteBuffer.allocateDirect(BYTES + 1000);
        for (int i = 0; more.position() < BYTES; i++) {
            more.put(FrontDoor.request("more" + i, "status", 78, "plus", DEADLINE_MS, -1));
        }
        more.flip();
        try (FrontDoor door = new FrontDoor(root, temporary, configuration)) {
            door.awaitReady();
            for (int round = 0; round < ROUNDS; round++) {
                CountDownLatch start = new CountDownLatch(1);
                List<Thread> threads = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    String id = "c" + round + "x" + i;
                    byte[] request = FrontDoor.request(id, "alert", 1000 + i, "plus", DEADLINE_MS, 100);
                    threads.add(Threads.start("client", () -> {
                        start.await();
                        if (trouble) {
                            sendAndGo(door, request, more.duplicate());
                            record.line(id + " sent, its client has left");
                            Thread.sleep(AGAIN_AFTER_MS);
                        }
                        sendAndStay(door, id, request, record);
                    }));
                }
                start.countDown();
                for (Thread thread : threads) {
                    thread.join();
                }
                Thread.sleep(2000);
            }
            if (!door.process.isAlive() || runs.isEmpty()) {
                return 2;
            }
        }
        long twice = runs.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("c"))
                .filter(entry -> entry.getValue().get() > 1)
                .count();
        return record.verdict(
                twice > 0, twice + " of " + CLIENTS * ROUNDS + " requests that must not run twice ran more than once");
    }

    /** Writes as much as the system takes at once, and closes. */
    private static void sendAndGo(FrontDoor door, byte[] first, ByteBuffer more) throws Exception {
        try (SocketChannel channel = SocketChannel.open(new InetSocketAddress("127.0.0.1", door.port))) {
            channel.configureBlocking(false);
            channel.write(new ByteBuffer[] {ByteBuffer.wrap(first), more});
        }
    }

    private static void sendAndStay(FrontDoor door, String id, byte[] request, Record record) throws Exception {
        try (Socket socket = door.connect()) {
            socket.getOutputStream().write(request);
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            record.line(id + " on a new connection: " + (answer == null ? "closed" : "answer " + answer.status()));
        }
    }
}
