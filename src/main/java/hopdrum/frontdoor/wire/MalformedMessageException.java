package hopdrum.frontdoor.wire;

/** Thrown for a message that violates its protocol or the limits of the front door. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;
    /** The HTTP status of the response to a client that sent such a message. */
    public final int status;

    /**
     * Creates an exception without a stack trace, because rejecting malformed input must stay cheap.
     *
     * @param status the HTTP status of the response to a client that sent such a message
     * @param message what is wrong; must not contain any content of the rejected message
     */
    public MalformedMessageException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }
}
