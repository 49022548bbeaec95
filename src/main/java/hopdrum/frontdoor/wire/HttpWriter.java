package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.HttpReader.ascii;

import java.util.List;
import java.util.Map;

/** Writes the answers that clients get. */
public final class HttpWriter {
    private static final byte[] OK = ascii("HTTP/1.1 200 OK\r\n");
    private static final byte[] LENGTH = ascii("Content-Length: ");
    private static final byte[] CLOSE = ascii("Connection: close\r\n");
    private static final byte[] CONTINUE = ascii("HTTP/1.1 100 Continue\r\n\r\n");
    private static final byte[] HEAD_END = ascii("\r\n\r\n");
    private static final byte[] RETRY = ascii("Retry-After: ");
    private static final byte[] LINE_END = ascii("\r\n");
    private static final List<byte[]> NOT_PASSED = List.of(
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

    /** Whether this is a final answer to an RPC, as a front door gives it. */
    public static boolean isAnswer(int status) {
        return status == 200 || status == 429 || status == 503 || status == 500;
    }

    /** The backend's whole answer, its body unchanged; false without room. */
    public static boolean answer(RingBuffer from, HttpReader in, boolean close, RingBuffer to) {
        if (!to.reserve(in.bodyTo() + 128)) {
            return false;
        }
        if (in.status() == 200) {
            to.put(OK);
        } else {
            statusLine(in.status(), to);
        }
        RequestHead.passFields(from, in, NOT_PASSED, to);
        if (close) {
            to.put(CLOSE);
        }
        int length = in.bodyTo() - in.bodyFrom();
        to.put(LENGTH);
        number(to, length);
        to.put(HEAD_END);
        to.put(from, in.bodyFrom(), length);
        return true;
    }

    /** An answer without a body; a wait of 0 names no time to come back. */
    public static boolean plain(int status, long retryAfterUs, boolean close, RingBuffer to) {
        if (!to.reserve(256)) {
            return false;
        }
        statusLine(status, to);
        if (retryAfterUs > 0) {
            to.put(RETRY);
            long ms = (retryAfterUs + 999) / 1000;
            number(to, ms / 1000);
            to.put(ascii("." + (char) ('0' + ms / 100 % 10) + (char) ('0' + ms / 10 % 10) + (char) ('0' + ms % 10)));
            to.put(LINE_END);
        }
        if (close) {
            to.put(CLOSE);
        }
        to.put(LENGTH);
        number(to, 0);
        to.put(HEAD_END);
        return true;
    }

    private static void statusLine(int status, RingBuffer to) {
        to.put(ascii("HTTP/1.1 " + status + " " + REASONS.getOrDefault(status, "Error") + "\r\n"));
    }

    public static boolean leaveToSend(RingBuffer to) {
        if (!to.reserve(CONTINUE.length)) {
            return false;
        }
        to.put(CONTINUE);
        return true;
    }

    static void number(RingBuffer to, long value) {
        to.put(ascii(Long.toString(value)));
    }
}
