package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.ThreadLocalRandom;

/** A usual client: keeps its connection, sends one request at a time, and waits for the answer. */
final class Client implements AutoCloseable {
    /** How a request ended, seen by its client. {@code answer} is null if none came. */
    record Result(String traceId, Http.Message answer, double sentAt, double endedAt, String ending) {
        boolean timedOut() {
            return ending.equals(NO_ANSWER);
        }
    }

    private static final String NO_ANSWER = "no answer in time";

    private final InetSocketAddress frontDoor;
    private final long customer;
    private Socket socket;
    private InputStream in;

    Client(InetSocketAddress frontDoor, long customer) {
        this.frontDoor = frontDoor;
        this.customer = customer;
    }

    static String newTraceId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /**
     * The head of a request: area-status, which may run again, or, if {@code write}, alert-send, which is a keyed POST
     * with a body of the given length.
     */
    static String head(String traceId, long customer, boolean write, int bodyLength, long patienceMs) {
        return (write ? "POST" : "GET") + " /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + traceId
                + "\r\nX-Qos: " + (write ? "alert-send" : "area-status") + "\r\nPlan: pro\r\nCookie: key="
                + String.format("%016x", customer) + "\r\nX-Expires-In-Ms: " + patienceMs + "\r\n"
                + (write ? "Idempotency-Key: " + traceId + "\r\nContent-Length: " + bodyLength + "\r\n" : "")
                + "Quota-Info: units=1,spread=1,first=0\r\n\r\n";
    }

    /** Sends an area-status request and waits for its answer until {@code grace} seconds after the client's time. */
    Result send(long patienceMs, double grace) {
        String traceId = newTraceId();
        boolean reused = socket != null;
        double sentAt = Rig.seconds();
        try {
            if (socket == null) {
                socket = new Socket();
                socket.connect(frontDoor, 1000);
                socket.setTcpNoDelay(true);
                in = new BufferedInputStream(socket.getInputStream());
            }
            sentAt = Rig.seconds();
            Rig.note("request " + traceId + " is sent");
            socket.getOutputStream().write(Http.bytes(head(traceId, customer, false, 0, patienceMs)));
            socket.setSoTimeout((int) (patienceMs + grace * 1000));
            Http.Message answer = Http.read(in);
            if (answer == null || "close".equals(answer.field("connection"))) {
                close();
            }
            if (answer == null && reused) {
                return send(patienceMs, grace); // the close has crossed the request: it is sent once more
            }
            Rig.note("request " + traceId + " is answered: "
                    + (answer == null ? "closed" : answer.status() + " " + answer.text()));
            return new Result(traceId, answer, sentAt, Rig.seconds(), answer == null ? "closed" : "answered");
        } catch (SocketTimeoutException e) {
            close();
            return new Result(traceId, null, sentAt, Rig.seconds(), NO_ANSWER);
        } catch (IOException e) {
            close();
            return new Result(traceId, null, sentAt, Rig.seconds(), e.toString());
        }
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed all the same.
            }
            socket = null;
        }
    }
}
