package hopdrum.frontdoor.wire;

/** Bytes that the protocol does not allow. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;
    /** The HTTP status of the response that a client gets for them. */
    public final int status;

    /**
     * An exception without a stack trace: it answers input, and bad input must stay cheap.
     *
     * @param status the HTTP status of the response that a client gets
     * @param message what is wrong, without any content of the message
     */
    public MalformedMessageException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }
}
