package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** Tests requests to the counter, whose amounts must not have an exponent, and the reading of the counter's totals. */
class CounterProtocolTest {
    private final RingBuffer ring = WireFixture.ring();

    @Test
    void requestHasNoExponentAndTotalMustBeANumber() throws MalformedMessageException {
        RingBuffer request = WireFixture.ring();
        assertThat(CounterProtocol.writeRequest(0x1fL, -2.5, 4000, request)).isTrue();
        assertThat(WireFixture.allText(request))
                .startsWith("POST /v2/numbers/1f?delta=-2.500000&life_ms=4000 HTTP/1.1\r\n");
        assertThat(CounterProtocol.formatDecimal(1e-5)).isEqualTo("0.000010");
        assertThat(CounterProtocol.formatDecimal(-0.25)).isEqualTo("-0.250000");
        assertThat(CounterProtocol.formatDecimal(123_456_789)).isEqualTo("123456789");
        HttpReader reader = WireFixture.readMessage(
                ring, HttpReader.Kind.RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12.5\n");
        assertThat(CounterProtocol.readTotal(ring, reader)).isEqualTo(12.5);
        reader.removeMessage(ring);
        HttpReader notANumber = WireFixture.readMessage(
                ring, HttpReader.Kind.RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nNaN");
        assertThatThrownBy(() -> CounterProtocol.readTotal(ring, notANumber))
                .isInstanceOf(MalformedMessageException.class);
    }
}
