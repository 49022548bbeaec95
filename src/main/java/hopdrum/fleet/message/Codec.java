package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;

/** Messages to bytes and back, as CBOR. */
public final class Codec {
    private static final int MOST_TEXT = 256;
    private static final int DEEPEST = 12;
    private static final ObjectMapper MAPPER = CBORMapper.builder(CBORFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxStringLength(MOST_TEXT)
                            .maxNestingDepth(DEEPEST)
                            .build())
                    .build())
            .defaultPropertyInclusion(
                    JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private Codec() {}

    public static byte[] bytes(Message message) {
        try {
            return MAPPER.writerFor(Message.class).writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a message of this program's own has no form", e);
        }
    }

    /** Throws IllegalArgumentException, with one line, for bytes that are no message. */
    public static Message read(byte[] bytes) {
        try {
            Message message = MAPPER.readValue(bytes, Message.class);
            if (message == null) {
                throw new IllegalArgumentException("no message");
            }
            return message;
        } catch (IOException
                | RuntimeException e) { // the library has a fault of its own for some bytes, as where a kind is no text
            String why = e instanceof JsonProcessingException j ? j.getOriginalMessage() : e.getMessage();
            throw new IllegalArgumentException(
                    "no message: " + String.valueOf(why).lines().findFirst().orElse(""), e);
        }
    }
}
