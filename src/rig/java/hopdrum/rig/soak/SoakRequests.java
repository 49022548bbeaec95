package hopdrum.rig.soak;

import java.nio.charset.StandardCharsets;

/** The requests that clients of a soak send. */
final class SoakRequests {
    /** The method whose requests may be repeated. */
    static final String IDEMPOTENT_METHOD = "read";
    /** The method whose requests may not be repeated. */
    static final String NON_IDEMPOTENT_METHOD = "order";

    private SoakRequests() {}

    static byte[] request(String id, boolean idempotent, long customer, long timeoutMs, int bodyBytes) {
        String head = (idempotent ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id
                + "\r\nX-Qos: " + (idempotent ? IDEMPOTENT_METHOD : NON_IDEMPOTENT_METHOD)
                + "\r\nPlan: basic\r\nCookie: key=" + String.format("%016x", customer)
                + "\r\nX-Expires-In-Ms: " + timeoutMs
                + "\r\nQuota-Info: units=1,spread=1,first=0\r\n"
                + (idempotent ? "" : "Content-Length: " + bodyBytes + "\r\n") + "\r\n";
        return bytes(head + "x".repeat(idempotent ? 0 : bodyBytes));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
