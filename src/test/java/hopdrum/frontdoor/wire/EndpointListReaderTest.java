package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests the splitting of discovery's responses into messages. Guards against messages that are lost, merged or split
 * when a response arrives in two pieces or when a message is truncated.
 */
class EndpointListReaderTest {
    private final RingBuffer ring = WireFixture.ring();

    @Test
    void watchSplitAtAnyByteGivesTheSameMessages() throws MalformedMessageException {
        String watch =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{\"se\r\n5\r\nq\":1}\r\n2\r\n\n\n\r\n8\r\n{\"q\":2}\n\r\n";
        for (int splitAt = 0; splitAt <= watch.length(); splitAt++) {
            List<String> messages = new ArrayList<>();
            EndpointListReader reader = new EndpointListReader(8 << 20, messages::add);
            RingBuffer splitRing = WireFixture.ring();
            WireFixture.put(splitRing, watch.substring(0, splitAt));
            reader.read(splitRing);
            WireFixture.put(splitRing, watch.substring(splitAt));
            assertThat(reader.read(splitRing)).isFalse();
            assertThat(messages).containsExactly("{\"seq\":1}", "", "{\"q\":2}");
        }
        List<String> messages = new ArrayList<>();
        WireFixture.put(ring, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[12]");
        assertThat(new EndpointListReader(8 << 20, messages::add).read(ring)).isTrue();
        assertThat(messages).containsExactly("[12]");
    }

    @Test
    void indentedListIsOneMessageAndATruncatedMessageDoesNotAbsorbTheNext() throws MalformedMessageException {
        List<String> messages = new ArrayList<>();
        WireFixture.put(
                ring,
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\n  \"seq\": 1,\n  \"hosts\": [\n    {\"host\": \"}\\\"{\"}\n  ]\n}\n\n"
                        + "{\"seq\":2,\"hosts\":[\n\n{\"seq\":3,\"ho\n{\"seq\":4}\n");
        new EndpointListReader(8 << 20, messages::add).read(ring);
        assertThat(messages).hasSize(6);
        assertThat(JsonReader.parse(messages.get(0)))
                .isEqualTo(Map.of("seq", 1.0, "hosts", List.of(Map.of("host", "}\"{"))));
        assertThat(messages.subList(1, 6))
                .containsExactly("", "{\"seq\":2,\"hosts\":[", "", "{\"seq\":3,\"ho", "{\"seq\":4}");
    }
}
