package hopdrum.rig.check;

/**
 * The outcome of one request as its client observed it.
 *
 * @param id the request's trace identifier
 * @param customer the customer's number
 * @param frontDoor the front door that the client connected to
 * @param status the HTTP status; or {@code unreachable} (no connection was established), {@code none} (no answer
 *     arrived), {@code broken} (the connection ended without an answer)
 * @param sentUs when the request was sent
 * @param endedUs when the client observed the outcome
 */
record RequestOutcome(String id, int customer, String frontDoor, String status, long sentUs, long endedUs) {
    static RequestOutcome of(LogEntry entry) {
        return new RequestOutcome(
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

    /** Whether the request was rejected because of a quota or to shed load. */
    boolean isRejected() {
        return status.equals("429") || status.equals("503");
    }

    /** Whether the request was sent at or after {@code fromUs} and before {@code untilUs}. */
    boolean isSentWithin(long fromUs, long untilUs) {
        return sentUs >= fromUs && sentUs < untilUs;
    }
}
