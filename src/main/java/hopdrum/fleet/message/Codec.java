package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;

/** Encodes messages as CBOR and decodes them. Thread-safe. */
public final class Codec {
    private static final int MAX_STRING_LENGTH = 256;
    private static final int MAX_NESTING_DEPTH = 12;
    private static final ObjectMapper MAPPER = CBORMapper.builder(CBORFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxStringLength(MAX_STRING_LENGTH)
                            .maxNestingDepth(MAX_NESTING_DEPTH)
                            .build())
                    .build())
            .defaultPropertyInclusion(
                    JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private Codec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the CBOR encoding; a message always has the same one
     */
    public static byte[] encode(Message message) {
        try {
            return MAPPER.writerFor(Message.class).writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode a message", e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes the encoding of exactly one message
     * @return the message
     * @throws IllegalArgumentException with a message of one line, if the bytes do not encode a valid message
     */
    public static Message decode(byte[] bytes) {
        try {
            Message message = MAPPER.readValue(bytes, Message.class);
            if (message == null) {
                throw new IllegalArgumentException("the message is null");
            }
            return message;
        } catch (IOException | RuntimeException e) {
            // RuntimeException is caught too, since Jackson throws a NullPointerException for some malformed bytes.
            String reason = e instanceof JsonProcessingException j ? j.getOriginalMessage() : e.getMessage();
            throw new IllegalArgumentException(
                    "malformed message: "
                            + String.valueOf(reason).lines().findFirst().orElse(""),
                    e);
        }
    }
}
