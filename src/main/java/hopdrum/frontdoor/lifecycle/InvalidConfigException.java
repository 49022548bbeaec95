package hopdrum.frontdoor.lifecycle;

/** A configuration that cannot be used; the message names the fault in one line, with the key where there is one. */
public final class InvalidConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** A fault without a cause of its own. */
    public InvalidConfigException(String message) {
        super(message);
    }

    /** A fault that was found by another exception. */
    public InvalidConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
