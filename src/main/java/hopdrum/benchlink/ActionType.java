package hopdrum.benchlink;

/**
 * The actions that a gateway writes, with their codes in the bench's protocol and the sizes of their records in bytes.
 */
enum ActionType {
    START_ATTEMPT(80, 17),
    REJECT(81, 13),
    ABORT(82, 9),
    CANCEL_ATTEMPT(83, 11),
    SCHEDULE_WAKE_UP(84, 13),
    SEND_TO_PEER(87, 9),
    REPORT_FAULT(89, 7),
    POLL_ENDPOINT_LIST(90, 6),
    ADD_TO_COUNTER(92, 21);

    final byte code;
    /** The size of the code, the instance number and the fields, without the content of a field of variable length. */
    final int size;

    ActionType(int code, int size) {
        this.code = (byte) code;
        this.size = size;
    }
}
