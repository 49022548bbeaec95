package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the parsing of HTTP messages. Guards against a wrong end of a message when messages are pipelined, chunked or
 * arrive byte by byte, and against malformed or oversized input that is not rejected.
 */
class HttpReaderTest {
    private final RingBuffer ring = WireFixture.ring();

    @Test
    void pipelinedRequestsAreReadOneAfterAnother() throws MalformedMessageException {
        HttpReader reader = WireFixture.readMessage(
                ring,
                HttpReader.Kind.REQUEST,
                WireFixture.REQUEST + "\r\nGET /api HTTP/1.1\r\nConnection: x, close\r\n\r\n");
        assertThat(reader.keepAlive()).isTrue();
        reader.removeMessage(ring);
        assertThat(reader.read(ring)).isTrue();
        assertThat(ring.text(0, reader.targetTo())).isEqualTo("GET /api");
        assertThat(reader.keepAlive()).isFalse();
        reader.removeMessage(ring);
        assertThat(ring.isEmpty()).isTrue();
    }

    @Test
    void chunkedResponseArrivingByteByByteIsDecoded() throws MalformedMessageException {
        HttpReader reader = new HttpReader(HttpReader.Kind.RESPONSE);
        String response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n";
        for (int i = 0; i < response.length(); i++) {
            WireFixture.put(ring, response.substring(i, i + 1));
            assertThat(reader.read(ring)).isEqualTo(i == response.length() - 1);
        }
        assertThat(ring.text(reader.bodyFrom(), reader.bodyTo())).isEqualTo("abc0123456789");
        reader.removeMessage(ring);
        assertThat(ring.isEmpty()).isTrue();
    }

    @Test
    void closeDelimitedResponseIsIncompleteUntilEndedByTheCaller() throws MalformedMessageException {
        HttpReader reader = new HttpReader(HttpReader.Kind.RESPONSE);
        WireFixture.put(ring, "HTTP/1.1 200 OK\r\n\r\nall of it, or not");
        assertThat(reader.read(ring)).isFalse();
        assertThat(reader.isCloseDelimited()).isTrue();
        reader.completeAtHead();
        assertThat(reader.read(ring)).as("its head alone").isTrue();
        assertThat(reader.bodyTo()).isEqualTo(reader.bodyFrom());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "noise without a line's end",
                "HTTP/1x",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 101 Other\r\n\r\n"
            })
    void malformedResponseIsRejectedAtOnce(String text) {
        WireFixture.put(ring, text);
        assertThatThrownBy(() -> new HttpReader(HttpReader.Kind.RESPONSE).read(ring))
                .isInstanceOf(MalformedMessageException.class);
    }

    @Test
    void endlessInterimResponsesAreRejected() {
        WireFixture.put(ring, "HTTP/1.1 102 Wait\r\n\r\n".repeat(5000));
        assertThatThrownBy(() -> new HttpReader(HttpReader.Kind.RESPONSE).read(ring))
                .isInstanceOf(MalformedMessageException.class);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET  HTTP/1.1\r\n\r\n",
                "GET /api\r\n\r\n",
                "GET /api HTTP/2.0\r\n\r\n",
                "GET /api HTTP/1.1\n\n",
                "GET /api HTTP/1.1\r\nNo colon\r\n\r\n",
                "GET /api HTTP/1.1\r\nA : b\r\n\r\n",
                "GET /api HTTP/1.1\r\n folded\r\n\r\n",
                "GET /api HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                "GET /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
                "GET /api HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                "GET /a\u0001 HTTP/1.1\r\n\r\n",
                "GET /api HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
                "GET /api HTTP/1.1\r\nA: b\rc\r\n\r\n",
                "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab"
            })
    void malformedRequestIsRejectedWithStatus400(String text) {
        WireFixture.put(ring, text);
        assertThatThrownBy(() -> new HttpReader(HttpReader.Kind.REQUEST).read(ring))
                .isInstanceOf(MalformedMessageException.class)
                .hasFieldOrPropertyWithValue("status", 400);
    }

    @Test
    void oversizedHeadOrBodyIsRejectedWithItsOwnStatus() {
        WireFixture.put(ring, "GET /api HTTP/1.1\r\nLong: " + "x".repeat(HttpReader.MAX_HEAD_BYTES));
        assertThatThrownBy(() -> new HttpReader(HttpReader.Kind.REQUEST).read(ring))
                .hasFieldOrPropertyWithValue("status", 431);
        RingBuffer bodyRing = WireFixture.ring();
        WireFixture.put(bodyRing, "POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n");
        assertThatThrownBy(() -> new HttpReader(HttpReader.Kind.REQUEST).read(bodyRing))
                .hasFieldOrPropertyWithValue("status", 413);
    }
}
