package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** Calls to the counter and its responses. */
class CounterProtocolTest {
    private final RingBuffer ring = WireFixture.ring();

    @Test
    void callHasNoExponentAndTotalMustBeANumber() throws MalformedMessageException {
        RingBuffer out = WireFixture.ring();
        assertThat(CounterProtocol.writeRequest(0x1fL, -2.5, 4000, out)).isTrue();
        assertThat(WireFixture.allText(out))
                .startsWith("POST /v2/numbers/1f?delta=-2.500000&life_ms=4000 HTTP/1.1\r\n");
        assertThat(CounterProtocol.decimal(1e-5)).isEqualTo("0.000010");
        assertThat(CounterProtocol.decimal(-0.25)).isEqualTo("-0.250000");
        assertThat(CounterProtocol.decimal(123_456_789)).isEqualTo("123456789");
        HttpReader reader = WireFixture.readMessage(
                ring, HttpReader.Kind.RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12.5\n");
        assertThat(CounterProtocol.total(ring, reader)).isEqualTo(12.5);
        reader.removeMessage(ring);
        HttpReader none = WireFixture.readMessage(
                ring, HttpReader.Kind.RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nNaN");
        assertThatThrownBy(() -> CounterProtocol.total(ring, none)).isInstanceOf(MalformedMessageException.class);
    }
}
