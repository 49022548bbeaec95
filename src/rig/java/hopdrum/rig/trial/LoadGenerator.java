package hopdrum.rig.trial;

import hopdrum.rig.trial.TrialFile.Load;
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
 * The clients of one trial: an open loop that sends requests at a fixed rate whatever the responses are, each on a
 * connection of its own. Each request and its outcome are recorded in the journal, from which the checker evaluates
 * them.
 */
final class LoadGenerator implements AutoCloseable {
    private static final int MAX_CONCURRENT = 200;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int READ_SLACK_MS = 3_000; // beyond the deadline of a request
    private static final int CLOSE_SLACK_MS = 4_000;
    private static final int STATUS_START = "HTTP/1.1 ".length();
    private static final int STATUS_END = STATUS_START + 3;
    private static final String RETRY_AFTER = "Retry-After: ";
    private static final String CONTENT_LENGTH = "Content-Length: ";

    /**
     * One request to be sent.
     *
     * @param traceId identifies the request, in 16 hexadecimal digits
     * @param customer the customer's index, from 0 on
     * @param spread the number of front doors over which the customer is spread; 1 if the front doors determine it
     * @param frontDoor the front door to which the request is sent
     * @param method the name of the configured method
     */
    private record ClientRequest(String traceId, int customer, int spread, String frontDoor, String method) {}

    private final EventJournal journal;
    private final Load load;
    private final Map<String, Integer> ports; // by front door
    private final List<List<String>> tiers; // customer i belongs to tier i modulo the number of tiers
    private final List<List<String>> entryFrontDoors; // by tier: the front doors that clients connect to
    private final boolean isAnyFrontDoorAllowed;
    private final SplittableRandom random;
    private final ExecutorService pool =
            Executors.newFixedThreadPool(MAX_CONCURRENT, task -> DaemonThreads.create("client", task));
    private volatile boolean isStopped;
    private Thread pacer;

    /**
     * Creates a generator that sends nothing before {@link #start}.
     *
     * @param ports the port on which each front door listens for clients
     * @param tiers groups of front doors, in the order of their ordinals; a customer belongs to one group
     * @param isAnyFrontDoorAllowed whether each front door accepts each customer, so that the front doors determine
     *     over how many of them a customer is spread
     * @param seed the seed of the random choice of customers, front doors and methods
     */
    LoadGenerator(
            EventJournal journal,
            Load load,
            Map<String, Integer> ports,
            List<List<String>> tiers,
            boolean isAnyFrontDoorAllowed,
            long seed) {
        this.journal = journal;
        this.load = load;
        this.ports = ports;
        this.tiers = tiers;
        this.entryFrontDoors = tiers.stream()
                .map(tier -> tier.stream().filter(load.frontDoors()::contains).toList())
                .toList();
        this.isAnyFrontDoorAllowed = isAnyFrontDoorAllowed;
        this.random = new SplittableRandom(seed);
    }

    /** Starts sending requests after a delay, until {@link #close}. */
    void start(long delayMs) {
        pacer = DaemonThreads.start("pacer", () -> sendAtRate(delayMs));
    }

    private void sendAtRate(long delayMs) {
        try {
            Thread.sleep(delayMs);
            long nextUs = EventJournal.nowUs();
            for (long number = 1; !isStopped; number++) {
                nextUs += (long) (1e6 / load.requestsPerSecond());
                TimeUnit.MICROSECONDS.sleep(nextUs - EventJournal.nowUs()); // no sleep if the loop is late
                ClientRequest request = drawRequest(number);
                pool.execute(() -> send(request));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ClientRequest drawRequest(long number) {
        int customer = random.nextInt(load.customers());
        List<String> tier = tiers.get(customer % tiers.size());
        List<String> candidates = entryFrontDoors.get(customer % tiers.size());
        String frontDoor = candidates.get(random.nextInt(candidates.size()));
        String method = random.nextInt(4) == 0 ? "once" : random.nextBoolean() ? "read" : "write";
        String traceId = String.format("%016x", number);
        return new ClientRequest(traceId, customer, isAnyFrontDoorAllowed ? 1 : tier.size(), frontDoor, method);
    }

    private void send(ClientRequest request) {
        long sentUs = EventJournal.nowUs();
        String status = "unreachable";
        String retryAfter = "";
        try (Socket socket = new Socket()) {
            InetAddress loopback = InetAddress.getLoopbackAddress();
            socket.connect(new InetSocketAddress(loopback, ports.get(request.frontDoor)), CONNECT_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            status = "none"; // the connection was accepted, so a response is due
            socket.getOutputStream().write(requestHead(request).getBytes(StandardCharsets.US_ASCII));
            socket.setSoTimeout(load.deadlineMs() + READ_SLACK_MS);
            String response = readResponse(socket.getInputStream());
            status = response.substring(STATUS_START, STATUS_END);
            retryAfter = headerField(response, RETRY_AFTER);
        } catch (IOException | StringIndexOutOfBoundsException e) {
            status = status.equals("none") ? "broken" : status;
        }
        journal.event("rpc")
                .with("rpc", request.traceId)
                .with("customer", request.customer)
                .with("door", request.frontDoor)
                .with("method", request.method)
                .with("sent_us", sentUs)
                .with("status", status)
                .with("retry_after", retryAfter)
                .write();
    }

    private String requestHead(ClientRequest request) {
        boolean isGet = request.method.equals("read");
        return (isGet ? "GET" : "POST") + " /api HTTP/1.1\r\n"
                + "Host: backend.local\r\n"
                + "X-Trace-Id: " + request.traceId + "\r\n"
                + "X-Qos: " + request.method + "\r\n"
                + "Plan: trial\r\n"
                + "Cookie: key=" + String.format("%016x", request.customer + 1) + "\r\n"
                + "X-Expires-In-Ms: " + load.deadlineMs() + "\r\n"
                + (request.method.equals("write") ? "Idempotency-Key: " + request.traceId + "\r\n" : "")
                + (isGet ? "" : "Content-Length: 0\r\n")
                + "Quota-Info: units=1,spread=" + request.spread + ",first=0\r\n\r\n";
    }

    /** Reads a whole response; only its received part if the connection ends early. */
    private static String readResponse(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        byte[] bytes = new byte[4096];
        while (true) {
            int count = in.read(bytes);
            if (count < 0) {
                return text.toString();
            }
            text.append(new String(bytes, 0, count, StandardCharsets.US_ASCII));
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd >= 0 && text.indexOf(CONTENT_LENGTH) >= 0) {
                int bodyLength = Integer.parseInt(headerField(text.toString(), CONTENT_LENGTH));
                if (text.length() >= headEnd + 4 + bodyLength) {
                    return text.toString();
                }
            }
        }
    }

    /** Returns the value of the header field with this prefix; empty if the field is absent. */
    private static String headerField(String response, String prefix) {
        int at = response.indexOf(prefix);
        return at < 0 ? "" : response.substring(at + prefix.length(), response.indexOf('\r', at));
    }

    /** Stops sending and waits for requests in flight, up to their deadline and 4 s more. */
    @Override
    public void close() {
        isStopped = true;
        try {
            if (pacer != null) {
                pacer.interrupt();
                pacer.join(); // afterwards no more requests are submitted to the pool
            }
            pool.shutdown();
            if (!pool.awaitTermination(load.deadlineMs() + CLOSE_SLACK_MS, TimeUnit.MILLISECONDS)) {
                pool.shutdownNow();
            }
        } catch (InterruptedException e) {
            pool.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }
}
