package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import java.util.List;
import java.util.Map;

/** Writes the responses that clients get. */
public final class HttpWriter {
    private static final byte[] OK = ascii("HTTP/1.1 200 OK\r\n");
    private static final byte[] LENGTH = ascii("Content-Length: ");
    private static final byte[] CLOSE = ascii("Connection: close\r\n");
    private static final byte[] CONTINUE = ascii("HTTP/1.1 100 Continue\r\n\r\n");
    private static final byte[] HEAD_END = ascii("\r\n\r\n");
    private static final byte[] RETRY_AFTER = ascii("Retry-After: ");
    private static final byte[] LINE_END = ascii("\r\n");
    private static final int MAX_ADDED_BYTES = 128; // status line and fields beside those that are forwarded
    private static final int MAX_EMPTY_RESPONSE_BYTES = 256;
    // Hop-by-hop fields, those that this program writes itself, and those that a backend means for it alone.
    private static final List<byte[]> NOT_FORWARDED = List.of(
            ascii("connection"),
            ascii("keep-alive"),
            ascii("trailer"),
            ascii("transfer-encoding"),
            ascii("upgrade"),
            ascii("proxy-connection"),
            ascii("content-length"),
            ascii("endpoint-load-metrics"),
            ascii("x-never-ran"));
    private static final Map<Integer, String> REASONS = Map.of(
            200,
            "OK",
            400,
            "Bad Request",
            404,
            "Not Found",
            408,
            "Request Timeout",
            413,
            "Content Too Large",
            429,
            "Too Many Requests",
            431,
            "Request Header Fields Too Large",
            500,
            "Internal Server Error",
            503,
            "Service Unavailable");

    private HttpWriter() {}

    /** Whether a status is that of a final response to an RPC, as a front door gives it. */
    public static boolean isFinalStatus(int status) {
        return status == 200 || status == 429 || status == 503 || status == 500;
    }

    /**
     * Writes the complete response of a backend, its body unchanged.
     *
     * @param from the ring with the response at its front
     * @param response the reader that has read it
     * @param close whether the connection ends with this response
     * @return false, and nothing is written, without room
     */
    public static boolean forwardResponse(RingBuffer from, HttpReader response, boolean close, RingBuffer out) {
        if (!out.reserve(response.bodyTo() + MAX_ADDED_BYTES)) {
            return false;
        }
        if (response.status() == 200) {
            out.put(OK);
        } else {
            statusLine(response.status(), out);
        }
        FieldForwarder.forward(from, response, NOT_FORWARDED, out);
        if (close) {
            out.put(CLOSE);
        }
        int length = response.bodyTo() - response.bodyFrom();
        out.put(LENGTH);
        Ascii.putDecimal(out, length);
        out.put(HEAD_END);
        out.put(from, response.bodyFrom(), length);
        return true;
    }

    /**
     * Writes a response without a body.
     *
     * @param retryAfterUs the time for Retry-After, in microseconds, rounded up to a millisecond; 0 for none
     * @param close whether the connection ends with this response
     * @return false, and nothing is written, without room
     */
    public static boolean writeEmptyResponse(int status, long retryAfterUs, boolean close, RingBuffer out) {
        if (!out.reserve(MAX_EMPTY_RESPONSE_BYTES)) {
            return false;
        }
        statusLine(status, out);
        if (retryAfterUs > 0) {
            out.put(RETRY_AFTER);
            long ms = (retryAfterUs + 999) / 1000;
            Ascii.putDecimal(out, ms / 1000);
            out.put(ascii("." + (char) ('0' + ms / 100 % 10) + (char) ('0' + ms / 10 % 10) + (char) ('0' + ms % 10)));
            out.put(LINE_END);
        }
        if (close) {
            out.put(CLOSE);
        }
        out.put(LENGTH);
        Ascii.putDecimal(out, 0);
        out.put(HEAD_END);
        return true;
    }

    private static void statusLine(int status, RingBuffer out) {
        out.put(ascii("HTTP/1.1 " + status + " " + REASONS.getOrDefault(status, "Error") + "\r\n"));
    }

    /** Writes the interim response upon which a client sends its body; false, and nothing is written, without room. */
    public static boolean writeContinueResponse(RingBuffer out) {
        if (!out.reserve(CONTINUE.length)) {
            return false;
        }
        out.put(CONTINUE);
        return true;
    }
}
