package hopdrum.frontdoor.wire;

/** Text that is no JSON; the message names the character at which that is found. */
public final class MalformedJsonException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedJsonException(int position, String message) {
        super("JSON, character " + position + ": " + message);
    }
}
