package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the reading of request heads and their forwarding to backends. Guards against requests that are read
 * differently when they arrive in pieces, and against invalid or ambiguous fields that are accepted.
 */
class RequestHeadTest {
    private final RingBuffer ring = WireFixture.ring();

    @Test
    void requestSplitAtAnyByteReadsTheSame() throws MalformedMessageException {
        for (int splitAt = 0; splitAt < WireFixture.REQUEST.length(); splitAt++) {
            RingBuffer splitRing = WireFixture.ring();
            HttpReader reader = new HttpReader(HttpReader.Kind.REQUEST);
            WireFixture.put(splitRing, WireFixture.REQUEST.substring(0, splitAt));
            assertThat(reader.read(splitRing)).isFalse();
            WireFixture.put(splitRing, WireFixture.REQUEST.substring(splitAt));
            assertThat(reader.read(splitRing)).isTrue();
            RequestHead head = WireFixture.requestHead();
            head.read(splitRing, reader);
            assertThat(List.of(
                            head.method,
                            head.plan,
                            head.customer,
                            head.units,
                            head.gatewayCount,
                            head.firstGateway,
                            head.timeLeftMs))
                    .isEqualTo(List.of(0, 1, 0xb4d65521L, 2.0, 3, 1, 480L));
            assertThat(splitRing.text(reader.bodyFrom(), reader.bodyTo())).isEqualTo("hello");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "X-Trace-Id: 9b1f, X-Other: 1, 400",
        "X-Qos: checkout, X-Qos: nothing, 400",
        "Plan: team, Plan: none, 400",
        "key=00000000b4d65521, key=00000002b4d65521, 400",
        "units=2, units=two, 400",
        "spread=3, spread=0, 400",
        "Expires-In-Ms: 480, Expires-In-Ms: soon, 400",
        "/api?area=7, /other, 404",
        "spread=3, spread=5, 400",
        "first=1, first=4, 400",
        "units=2, units=7, 400",
        "units=2, units=0, 400",
        "units=2, units=0x1p1, 400",
        "units=2, units=2d, 400",
        "units=2, units=-2, 400",
        "units=2, units=1e0, 400",
        "units=2, units=1_units=2, 400",
        "spread=3, spread=3_spread=3, 400",
        "Plan: team, Plan: team|Plan: solo, 400",
        "X-Qos: checkout, X-Qos: checkout|X-Qos: order, 400",
        "X-Trace-Id: 9b1f, X-Trace-Id: 9b1f|x-trace-id: 9b1f, 400",
        "X-Trace-Id: 9b1f, X-Trace-Id:, 400",
        "Cookie: a=b, Cookie: key=0000000000000001, 400",
        "Idempotency-Key: 5c0f, Idempotency-Key:, 400",
        "Idempotency-Key: 5c0f, X-A: 1, 400",
        "POST, GET, 405",
        "POST, PUT, 405",
        "checkout, browse, 405",
        "POST_checkout, GET_browse, 400"
    })
    void invalidHeadIsRejected(String original, String replacement, int status) throws MalformedMessageException {
        // The table cannot hold commas and line breaks. In a replacement, a vertical bar stands for a line break and an
        // underscore for a comma. If the original has an underscore, the underscores separate two replacements instead.
        String text = WireFixture.REQUEST;
        if (original.contains("_")) {
            String[] originals = original.split("_", -1);
            String[] replacements = replacement.split("_", -1);
            for (int i = 0; i < 2; i++) {
                text = text.replace(originals[i], replacements[i]);
            }
        } else {
            text = text.replace(original, replacement.replace("|", "\r\n").replace('_', ','));
        }
        HttpReader reader = WireFixture.readMessage(ring, HttpReader.Kind.REQUEST, text);
        assertThatThrownBy(() -> WireFixture.requestHead().read(ring, reader))
                .isInstanceOf(MalformedMessageException.class)
                .hasFieldOrPropertyWithValue("status", status);
    }

    @Test
    void requestIsForwardedWithoutHopByHopFields() throws MalformedMessageException {
        HttpReader reader = WireFixture.readMessage(
                ring, HttpReader.Kind.REQUEST, WireFixture.REQUEST.replace("Host:", "Connection: keep-alive\r\nHost:"));
        RingBuffer out = WireFixture.ring();
        assertThat(RequestForwarder.forward(ring, reader, 321, false, out)).isTrue();
        assertThat(WireFixture.allText(out))
                .isEqualTo(
                        "POST /api?area=7 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: 9b1f\r\n"
                                + "X-Qos: checkout\r\nPlan: team\r\nCookie: a=b; key=00000000b4d65521\r\nIdempotency-Key: 5c0f\r\n"
                                + "Quota-Info: units=2,spread=3,first=1\r\nX-Expires-In-Ms: 321\r\nContent-Length: 5\r\n\r\nhello");
    }
}
