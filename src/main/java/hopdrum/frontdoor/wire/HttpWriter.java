package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import java.util.List;
import java.util.Map;

/** Writes the responses to clients. */
public final class HttpWriter {
    private static final byte[] STATUS_LINE_200 = ascii("HTTP/1.1 200 OK\r\n");
    private static final byte[] CONTENT_LENGTH = ascii("Content-Length: ");
    private static final byte[] CONNECTION_CLOSE = ascii("Connection: close\r\n");
    private static final byte[] CONTINUE = ascii("HTTP/1.1 100 Continue\r\n\r\n");
    private static final byte[] HEAD_END = ascii("\r\n\r\n");
    private static final byte[] RETRY_AFTER = ascii("Retry-After: ");
    private static final byte[] LINE_END = ascii("\r\n");
    private static final int MAX_ADDED_BYTES = 128; // for the status line and the fields that the front door adds
    private static final int MAX_EMPTY_RESPONSE_BYTES = 256;
    // Hop-by-hop fields, fields that the front door writes itself, and fields that only the front door evaluates.
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
    private static final Map<Integer, String> REASON_PHRASES = Map.of(
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

    /** Whether a front door gives this status in its final response to a valid request. */
    public static boolean isFinalStatus(int status) {
        return status == 200 || status == 429 || status == 503 || status == 500;
    }

    /**
     * Writes the complete response of a backend with an unchanged body.
     *
     * @param from the buffer with the response at its front
     * @param response the reader that has read the response
     * @param close whether the connection is closed after this response
     * @param out the buffer that the response is appended to
     * @return false if the buffer has too little space; nothing is written then
     */
    public static boolean forwardResponse(RingBuffer from, HttpReader response, boolean close, RingBuffer out) {
        if (!out.reserve(response.bodyTo() + MAX_ADDED_BYTES)) {
            return false;
        }
        if (response.status() == 200) {
            out.put(STATUS_LINE_200);
        } else {
            writeStatusLine(response.status(), out);
        }
        FieldForwarder.forward(from, response, NOT_FORWARDED, out);
        if (close) {
            out.put(CONNECTION_CLOSE);
        }
        int length = response.bodyTo() - response.bodyFrom();
        out.put(CONTENT_LENGTH);
        Ascii.putDecimal(out, length);
        out.put(HEAD_END);
        out.put(from, response.bodyFrom(), length);
        return true;
    }

    /**
     * Writes a response without a body.
     *
     * @param status the status code
     * @param retryAfterUs the time for Retry-After, in microseconds, rounded up to a whole millisecond; 0 to omit the
     *     field
     * @param close whether the connection is closed after this response
     * @param out the buffer that the response is appended to
     * @return false if the buffer has too little space; nothing is written then
     */
    public static boolean writeEmptyResponse(int status, long retryAfterUs, boolean close, RingBuffer out) {
        if (!out.reserve(MAX_EMPTY_RESPONSE_BYTES)) {
            return false;
        }
        writeStatusLine(status, out);
        if (retryAfterUs > 0) {
            out.put(RETRY_AFTER);
            long retryAfterMs = (retryAfterUs + 999) / 1000;
            Ascii.putDecimal(out, retryAfterMs / 1000);
            out.put(ascii("." + (char) ('0' + retryAfterMs / 100 % 10) + (char) ('0' + retryAfterMs / 10 % 10)
                    + (char) ('0' + retryAfterMs % 10)));
            out.put(LINE_END);
        }
        if (close) {
            out.put(CONNECTION_CLOSE);
        }
        out.put(CONTENT_LENGTH);
        Ascii.putDecimal(out, 0);
        out.put(HEAD_END);
        return true;
    }

    private static void writeStatusLine(int status, RingBuffer out) {
        out.put(ascii("HTTP/1.1 " + status + " " + REASON_PHRASES.getOrDefault(status, "Error") + "\r\n"));
    }

    /**
     * Writes the interim response 100 Continue, after which a client sends the body of its request.
     *
     * @param out the buffer that the response is appended to
     * @return false if the buffer has too little space; nothing is written then
     */
    public static boolean writeContinueResponse(RingBuffer out) {
        if (!out.reserve(CONTINUE.length)) {
            return false;
        }
        out.put(CONTINUE);
        return true;
    }
}
