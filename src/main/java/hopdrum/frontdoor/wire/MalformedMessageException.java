package hopdrum.frontdoor.wire;

/** Bytes that the protocol does not allow; status is the HTTP answer that a client gets for them. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;
    public final int status;

    public MalformedMessageException(int status, String message) {
        super(message, null, false, false); // no stack: it answers input, and bad input must stay cheap
        this.status = status;
    }
}
