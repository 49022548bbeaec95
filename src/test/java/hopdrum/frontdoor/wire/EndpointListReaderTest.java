package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Discovery's messages, cut anywhere. */
class EndpointListReaderTest {
    private final RingBuffer ring = WireFixture.ring();

    @Test
    void watchCutAnywhereGivesItsMessages() throws MalformedMessageException {
        String watch =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{\"se\r\n5\r\nq\":1}\r\n2\r\n\n\n\r\n8\r\n{\"q\":2}\n\r\n";
        for (int cut = 0; cut <= watch.length(); cut++) {
            List<String> lines = new ArrayList<>();
            EndpointListReader reader = new EndpointListReader(lines::add);
            RingBuffer bytes = WireFixture.ring();
            WireFixture.put(bytes, watch.substring(0, cut));
            reader.read(bytes);
            WireFixture.put(bytes, watch.substring(cut));
            assertThat(reader.read(bytes)).isFalse();
            assertThat(lines).containsExactly("{\"seq\":1}", "", "{\"q\":2}");
        }
        List<String> lines = new ArrayList<>();
        WireFixture.put(ring, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[12]");
        assertThat(new EndpointListReader(lines::add).read(ring)).isTrue();
        assertThat(lines).containsExactly("[12]");
    }

    @Test
    void indentedListIsOneMessageAndATruncatedOneTakesNoOtherAlong() throws MalformedMessageException {
        List<String> lines = new ArrayList<>();
        WireFixture.put(
                ring,
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\n  \"seq\": 1,\n  \"hosts\": [\n    {\"host\": \"}\\\"{\"}\n  ]\n}\n\n"
                        + "{\"seq\":2,\"hosts\":[\n\n{\"seq\":3,\"ho\n{\"seq\":4}\n");
        new EndpointListReader(lines::add).read(ring);
        assertThat(lines).hasSize(6);
        assertThat(JsonReader.parse(lines.get(0)))
                .isEqualTo(Map.of("seq", 1.0, "hosts", List.of(Map.of("host", "}\"{"))));
        assertThat(lines.subList(1, 6))
                .containsExactly("", "{\"seq\":2,\"hosts\":[", "", "{\"seq\":3,\"ho", "{\"seq\":4}");
    }
}
