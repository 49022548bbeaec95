package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the parsing of JSON text. Guards against malformed text that is accepted. */
class JsonReaderTest {
    @Test
    void validTextIsParsedAndMalformedTextIsRejectedWithThePosition() {
        assertThat(JsonReader.parse(" {\"a\":[1,-2.5e1,true,null,\"x\\u0041\\n\"],\"b\":{}} "))
                .isEqualTo(Map.of("a", java.util.Arrays.asList(1.0, -25.0, true, null, "xA\n"), "b", Map.of()));
        for (String malformed :
                new String[] {"", "{", "[1,]", "{\"a\" 1}", "\"\\x\"", "tru", "1 2", "[".repeat(100), "\"\u0001\""}) {
            assertThatThrownBy(() -> JsonReader.parse(malformed))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("character");
        }
    }
}
