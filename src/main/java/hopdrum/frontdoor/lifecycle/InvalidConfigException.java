package hopdrum.frontdoor.lifecycle;

/** Thrown if a configuration cannot be used; the message says why in one line and names the key, if one is at fault. */
public final class InvalidConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause. */
    public InvalidConfigException(String message) {
        super(message);
    }

    /** Creates an exception that was caused by another one. */
    public InvalidConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
