package hopdrum.frontdoor.wire;

/** Thrown for text that is not valid JSON. The message gives the index of the character where parsing failed. */
public final class MalformedJsonException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedJsonException(int position, String message) {
        super("JSON, character " + position + ": " + message);
    }
}
