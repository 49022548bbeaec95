package hopdrum.host;

/** How a call-out, a probe or a call to the counter ended. */
public enum Outcome {
    OK, ERROR, FULL, TIMED_OUT, CONNECT_FAILED, RESET, CANCELLED, MOOT
}
