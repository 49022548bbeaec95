package hopdrum.benchlink;

/** The events that the bench sends, in the order of their codes on the wire, which leave no gap. */
enum EventType {
    REQUEST_RECEIVED,
    INSTANCE_STOPPED,
    TIMER_DUE,
    COUNTER_REPLIED,
    CLIENT_LEFT,
    ENDPOINTS_UPDATED,
    HEALTH_CHECK_ENDED,
    ATTEMPT_ENDED,
    GOSSIP_RECEIVED,
    INSTANCE_ATTACHED,
    STREAM_STARTED;

    private static final int FIRST_CODE = 16;
    private static final EventType[] BY_CODE = values();

    /** The event of a code, 0 to 255. */
    static EventType of(int code) throws MalformedRecordException {
        int index = code - FIRST_CODE;
        if (index < 0 || index >= BY_CODE.length) {
            throw new MalformedRecordException("unknown event code " + code);
        }
        return BY_CODE[index];
    }
}
