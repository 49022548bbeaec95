package hopdrum.rig.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;

/** A client that sends small requests at full speed on one connection, and opens another when it is closed. */
final class FloodingClient implements Runnable {
    private static final long FLOOD_NANOS = 3_000_000_000L;
    private static final int REQUESTS_PER_WRITE = 50;
    private static final int FIELDS = 60;
    private static final long LONGEST_TIME_MS = Integer.MAX_VALUE;

    private final SoakPlan plan;
    private final SoakRecords records;
    private final SoakSchedule schedule;
    private long sent;

    FloodingClient(SoakPlan plan, SoakRecords records, SoakSchedule schedule) {
        this.plan = plan;
        this.records = records;
        this.schedule = schedule;
    }

    @Override
    public void run() {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < FLOOD_NANOS && !schedule.isTerminating()) {
            try (Socket socket = new Socket()) {
                socket.connect(schedule.frontDoor);
                Thread reader = new Thread(() -> discardAnswers(socket), "flood-reader");
                reader.setDaemon(true);
                reader.start();
                while (System.nanoTime() - startNanos < FLOOD_NANOS) {
                    socket.getOutputStream().write(nextRequests());
                }
            } catch (IOException e) {
                // The front door has closed the connection, as it may.
            }
        }
    }

    private static void discardAnswers(Socket socket) {
        try {
            socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The flood is over.
        }
    }

    private byte[] nextRequests() {
        ByteArrayOutputStream requests = new ByteArrayOutputStream();
        for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
            requests.writeBytes(nextRequest());
        }
        return requests.toByteArray();
    }

    private byte[] nextRequest() {
        String id = "flood." + sent;
        long customer = 1_000_000 + sent++;
        return switch (plan.flood()) {
            case NEW_CUSTOMERS_WITHOUT_TIME -> SoakRequests.request(id, false, customer, 0, 0);
            case NEW_CUSTOMERS_WITH_LONG_TIME -> SoakRequests.request(id, true, customer, LONGEST_TIME_MS, 0);
            case MALFORMED_REQUESTS -> SoakRequests.bytes("GET /api HTTP/1.1\r\nX-Qos: none\r\n\r\n");
            case HEADS_OF_MANY_FIELDS ->
                SoakRequests.bytes("GET /health/ready HTTP/1.1\r\n" + "a:\r\n".repeat(FIELDS) + "\r\n");
            default -> SoakRequests.bytes("GET /health/ready HTTP/1.1\r\n\r\n");
        };
    }

    /** Registers the flood's ids, so that their attempts are known to the checker. */
    void register() {
        records.sent("flood", true, LONGEST_TIME_MS);
    }
}
