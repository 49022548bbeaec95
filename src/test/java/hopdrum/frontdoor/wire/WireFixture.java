package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Method;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Buffers and messages for the tests of parsers and writers. */
final class WireFixture {
    static final String REQUEST =
            "POST /api?area=7 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: 9b1f\r\nX-Qos: checkout\r\n"
                    + "Plan: team\r\nCookie: a=b; key=00000000b4d65521\r\nX-Expires-In-Ms: 480\r\nIdempotency-Key: 5c0f\r\n"
                    + "Content-Length: 5\r\nQuota-Info: units=2,spread=3,first=1\r\n\r\nhello";

    private WireFixture() {}

    static RingBuffer ring() {
        return new RingBuffer(128 << 10, BufferMemory.UNLIMITED);
    }

    static void put(RingBuffer ring, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        assertThat(ring.reserve(bytes.length)).isTrue();
        ring.put(bytes);
    }

    static String allText(RingBuffer ring) {
        return ring.text(0, ring.size());
    }

    /** Puts a complete message into an empty buffer and reads it. */
    static HttpReader readMessage(RingBuffer ring, HttpReader.Kind kind, String text) throws MalformedMessageException {
        HttpReader reader = new HttpReader(kind);
        put(ring, text);
        assertThat(reader.read(ring)).isTrue();
        return reader;
    }

    /** Returns a head for three methods, one for each retry safety, and two plans. */
    static RequestHead requestHead() {
        List<Method> methods = new ArrayList<>();
        for (Method.RetrySafety safety : List.of(
                Method.RetrySafety.DEDUPLICATED, Method.RetrySafety.IDEMPOTENT, Method.RetrySafety.NON_IDEMPOTENT)) {
            methods.add(new Method(2, 4, safety, Method.DeduplicationScope.ALL, 0, 0, false));
        }
        return new RequestHead(List.of("checkout", "browse", "order"), List.of("solo", "team"), methods, 4, 6);
    }
}
