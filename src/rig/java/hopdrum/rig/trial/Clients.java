package hopdrum.rig.trial;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Clients of one trial: an open loop, so many RPCs a second whatever comes back, each on a connection of its own. What
 * was sent and what came back stands in the journal; nothing is judged here.
 */
final class Clients implements AutoCloseable {
    private final Journal journal;
    private final Map<String, Integer> ports; // of the doors, by name
    private final List<List<String>> tiers; // the doors of each operator, in the order of their numbers
    private final boolean anyDoor; // any door takes any customer: the program says over how many it is spread
    private final List<List<String>> entries; // those of them that clients come to
    private final double perSecond;
    private final int customers;
    private final int deadlineMs;
    private final SplittableRandom random;
    private final ExecutorService pool = Executors.newFixedThreadPool(200, r -> {
        Thread t = new Thread(null, r, "client", 256 << 10);
        t.setDaemon(true);
        return t;
    });
    private volatile boolean stopped;
    private Thread pacer;

    Clients(
            Journal journal,
            Map<String, Integer> ports,
            List<List<String>> tiers,
            boolean anyDoor,
            List<String> entries,
            double perSecond,
            int customers,
            int deadlineMs,
            long seed) {
        this.journal = journal;
        this.ports = ports;
        this.tiers = tiers;
        this.anyDoor = anyDoor;
        this.entries = tiers.stream()
                .map(t -> t.stream().filter(entries::contains).toList())
                .toList();
        this.perSecond = perSecond;
        this.customers = customers;
        this.deadlineMs = deadlineMs;
        this.random = new SplittableRandom(seed);
    }

    void start() {
        pacer = Threads.start("pacer", this::pace);
    }

    private void pace() {
        long next = Journal.nowUs();
        for (long n = 1; !stopped; n++) {
            next += (long) (1e6 / perSecond);
            long ahead = next - Journal.nowUs();
            if (ahead > 0) {
                try {
                    TimeUnit.MICROSECONDS.sleep(ahead);
                } catch (InterruptedException e) {
                    return;
                }
            }
            int customer = random.nextInt(customers);
            List<String> tier = tiers.get(customer % tiers.size());
            List<String> open = entries.get(customer % tiers.size());
            String door = open.get(random.nextInt(open.size()));
            String method = random.nextInt(4) == 0 ? "once" : random.nextBoolean() ? "read" : "write";
            long id = n;
            pool.execute(() -> rpc(id, customer, anyDoor ? 1 : tier.size(), door, method));
        }
    }

    private void rpc(long id, int customer, int spread, String door, String method) {
        String trace = String.format("%016x", id);
        long sentUs = Journal.nowUs();
        String status = "unreachable";
        String retryAfter = "";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(door)), 500);
            socket.setTcpNoDelay(true);
            status = "none"; // taken by the door's machine: an answer is owed
            boolean get = method.equals("read");
            socket.getOutputStream()
                    .write(((get ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + trace
                                    + "\r\nX-Qos: " + method + "\r\nPlan: trial\r\nCookie: key="
                                    + String.format("%016x", customer + 1)
                                    + "\r\nX-Expires-In-Ms: " + deadlineMs + "\r\n"
                                    + (method.equals("write") ? "Idempotency-Key: " + trace + "\r\n" : "")
                                    + (get ? "" : "Content-Length: 0\r\n") + "Quota-Info: units=1,spread=" + spread
                                    + ",first=0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            socket.setSoTimeout(deadlineMs + 3_000);
            String answer = answer(socket.getInputStream());
            status = answer.substring(9, 12);
            int at = answer.indexOf("Retry-After: ");
            retryAfter = at < 0 ? "" : answer.substring(at + 13, answer.indexOf('\r', at));
        } catch (IOException | StringIndexOutOfBoundsException e) {
            status = status.equals("none") ? "broken" : status;
        }
        journal.event(
                "rpc",
                "rpc",
                trace,
                "customer",
                customer,
                "door",
                door,
                "method",
                method,
                "sent_us",
                sentUs,
                "status",
                status,
                "retry_after",
                retryAfter);
    }

    private static String answer(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        byte[] bytes = new byte[4096];
        while (true) {
            int n = in.read(bytes);
            if (n < 0) {
                return text.toString();
            }
            text.append(new String(bytes, 0, n, StandardCharsets.US_ASCII));
            int end = text.indexOf("\r\n\r\n");
            int length = text.indexOf("Content-Length: ");
            if (end >= 0 && length >= 0) {
                int body = Integer.parseInt(text.substring(length + 16, text.indexOf("\r", length)));
                if (text.length() >= end + 4 + body) {
                    return text.toString();
                }
            }
        }
    }

    /** Sends no more and waits for what is under way. */
    @Override
    public void close() {
        stopped = true;
        try {
            if (pacer != null) {
                pacer.interrupt();
                pacer.join(); // it gives the pool nothing more
            }
            pool.shutdown();
            if (!pool.awaitTermination(deadlineMs + 4_000, TimeUnit.MILLISECONDS)) {
                pool.shutdownNow();
            }
        } catch (InterruptedException e) {
            pool.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }
}
