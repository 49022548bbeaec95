package hopdrum.rig.soak;

import hopdrum.rig.soak.SoakRecords.RequestRecord;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.SplittableRandom;

/**
 * A client that sends one request at a time on a connection that it keeps, until the front door's process has ended. Each
 * request has to get a final answer in time.
 */
final class UsualClient implements Runnable {
    private static final int MAX_PAUSE_MS = 60;
    private static final int MAX_BODY_BYTES = 20_000;
    private static final int MIN_TIMEOUT_MS = 400;
    private static final long ANSWER_GRACE_MS = 550; // half a second, and 50 ms on sockets
    private static final long CROSSING_LIMIT_NANOS = 30_000_000;
    private static final long LAST_NEW_CONNECTION_MS = 400; // after SIGTERM

    private final SoakPlan plan;
    private final SoakRecords records;
    private final SoakSchedule schedule;
    private final SplittableRandom random;
    private final String name;
    private Socket socket; // null while not connected
    private boolean isNewConnection;

    UsualClient(int number, SoakPlan plan, SoakRecords records, SoakSchedule schedule) {
        this.plan = plan;
        this.records = records;
        this.schedule = schedule;
        this.random = new SplittableRandom(plan.seed() * 1009 + number);
        this.name = "usual" + number;
    }

    @Override
    public void run() {
        try {
            for (int i = 0; !schedule.hasEnded(); i++) {
                if (socket == null && !connect()) {
                    return;
                }
                send(name + "-" + i);
                Thread.sleep(random.nextInt(1, MAX_PAUSE_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            disconnect();
        }
    }

    /** Returns false if no connection can be opened any more. */
    private boolean connect() throws InterruptedException {
        while (!schedule.hasEnded() && schedule.millisSinceSigterm() < LAST_NEW_CONNECTION_MS) {
            try {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(schedule.frontDoor, plan.deadlineMs());
                isNewConnection = true;
                return true;
            } catch (IOException e) {
                disconnect();
                if (!schedule.isTerminating() && plan.stalledClients() < 100) {
                    records.violated("connect", name + " cannot connect: " + e.getMessage());
                }
                Thread.sleep(1);
            }
        }
        return false;
    }

    private void send(String id) {
        boolean idempotent = random.nextBoolean();
        long timeoutMs = random.nextInt(MIN_TIMEOUT_MS, plan.deadlineMs() + 1);
        int bodyBytes = random.nextInt(4) == 0 ? random.nextInt(MAX_BODY_BYTES) : 0;
        byte[] request = SoakRequests.request(id, idempotent, random.nextInt(1000), timeoutMs, bodyBytes);
        RequestRecord record = records.sent(id, idempotent, timeoutMs);
        try {
            socket.setSoTimeout((int) (timeoutMs + ANSWER_GRACE_MS));
            socket.getOutputStream().write(request);
            if (!receive(id)) {
                closedUnanswered(record, "the end of the stream");
            }
        } catch (SocketTimeoutException e) {
            records.violated(
                    "answer",
                    id + " had no answer " + ANSWER_GRACE_MS + " ms after its " + timeoutMs + " ms, "
                            + schedule.millisSinceSigterm() + " ms after SIGTERM, "
                            + (isNewConnection ? "new" : "used") + " connection, " + request.length + " bytes");
            record.leftNanos = System.nanoTime();
            disconnect();
        } catch (IOException e) {
            closedUnanswered(record, e.getMessage());
        }
    }

    /** Receives the answer; returns false if the stream ends before it. */
    private boolean receive(String id) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        int length = Integer.parseInt(head.substring(head.indexOf("Content-Length: ") + 16)
                .lines()
                .findFirst()
                .orElse("0"));
        String body = new String(in.readNBytes(length), java.nio.charset.StandardCharsets.ISO_8859_1);
        int status = Integer.parseInt(head.substring(9, 12));
        records.answered(status);
        if (status == 200 && !body.equals("for " + id)) {
            records.violated("foreign", id + " was answered with " + body);
        }
        if (status < 200 || (status > 200 && status < 429)) {
            records.violated("status", id + " was answered with " + status);
        }
        isNewConnection = false;
        if (head.indexOf("Connection: close") >= 0) {
            disconnect();
        }
        return true;
    }

    /**
     * Judges a connection that was closed without an answer. The close of a resting connection may cross a request, and
     * the last new connections may meet the close of the listening socket.
     */
    private void closedUnanswered(RequestRecord record, String how) {
        long waitedNanos = System.nanoTime() - record.sentNanos;
        boolean mayClose = schedule.isTerminating() || plan.stalledClients() >= 100;
        boolean crossing = mayClose && waitedNanos < CROSSING_LIMIT_NANOS && !isNewConnection;
        boolean closedUnread = isNewConnection
                && (schedule.millisSinceSigterm() > LAST_NEW_CONNECTION_MS || plan.stalledClients() >= 100);
        if (!crossing && !closedUnread) {
            records.violated(
                    "lost",
                    record.id + " was closed without an answer after " + waitedNanos / 1_000_000 + " ms, "
                            + schedule.millisSinceSigterm() + " ms after SIGTERM, "
                            + (isNewConnection ? "new" : "used") + " connection: " + how);
        }
        record.leftNanos = System.nanoTime();
        disconnect();
    }

    private void disconnect() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The connection has ended in any case.
        }
        socket = null;
    }
}
