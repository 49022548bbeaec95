package hopdrum.rig.check;

/**
 * One RPC as its client saw it.
 *
 * @param id its trace identifier
 * @param customer the customer's number
 * @param door the door that the client connected to
 * @param status the HTTP status; or {@code unreachable} (no connection), {@code none} (no answer), {@code broken} (the
 *     connection ended without an answer)
 * @param sentUs when it was sent
 * @param endedUs when the client had the outcome
 */
record RpcOutcome(String id, int customer, String door, String status, long sentUs, long endedUs) {
    static RpcOutcome of(LogEntry entry) {
        return new RpcOutcome(
                entry.text("rpc"),
                entry.field("customer").asInt(),
                entry.text("door"),
                entry.text("status"),
                entry.number("sent_us"),
                entry.atUs());
    }

    long tookUs() {
        return endedUs - sentUs;
    }

    boolean isOk() {
        return status.equals("200");
    }

    /** Whether it was rejected because of a quota or to shed load. */
    boolean isRejected() {
        return status.equals("429") || status.equals("503");
    }

    /** Whether it was sent from the first moment on and before the second. */
    boolean isSentWithin(long fromUs, long untilUs) {
        return sentUs >= fromUs && sentUs < untilUs;
    }
}
