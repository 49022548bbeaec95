package hopdrum.host;

/**
 * How an attempt, a health check or a call on the counter ended. UNREADABLE: an answer came that cannot be read; what was
 * asked for has run, and whoever was asked is no worse than others.
 */
public enum Outcome {
    OK,
    ERROR,
    AT_CAPACITY,
    TIMED_OUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    INVALID_REQUEST,
    UNREADABLE
}
