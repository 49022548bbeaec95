package hopdrum.benchlink;

/** The events that the bench sends, in the order of their codes in its protocol, which are consecutive. */
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

    /**
     * Returns the event of a code from 0 to 255.
     *
     * @throws MalformedRecordException if no event has this code
     */
    static EventType of(int code) throws MalformedRecordException {
        int index = code - FIRST_CODE;
        if (index < 0 || index >= BY_CODE.length) {
            throw new MalformedRecordException("unknown event code " + code);
        }
        return BY_CODE[index];
    }
}
