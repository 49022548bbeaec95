package hopdrum.host;

/**
 * How an attempt, a health check or a call on the counter ended. UNREADABLE means that an answer arrived which cannot
 * be parsed: the operation has run, and the outcome does not count against the server.
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
