package hopdrum.policy.backends;

/**
 * Limits the attempts of this gateway that may be in flight at one backend; late answers and errors lower the limit.
 */
final class ConcurrencyLimit {
    /** The initial limit at one backend, of all gateways together. */
    static final double INITIAL_TOTAL = 6;

    /** The highest limit at one backend, of one gateway. */
    static final double MAX_LIMIT = 64;

    /** A fraction of the soft deadline: an answer that comes sooner shows that one more attempt does no harm. */
    static final double GROW_BELOW_FRACTION = 0.25;

    /** A fraction of the soft deadline: an answer that comes later shows that the limit is too high. */
    static final double SHRINK_ABOVE_FRACTION = 0.5;

    private static final double LATE_FACTOR = 0.9;
    private static final double ERROR_FACTOR = 0.8;
    private static final double GROWTH = 0.1;

    private double limit;

    ConcurrencyLimit(int gateways) {
        limit = Math.max(1, 2 * INITIAL_TOTAL / gateways);
    }

    int currentLimit() {
        return Math.max(1, (int) limit);
    }

    void attemptAnswered(double fractionOfSoftDeadline, int inFlight) {
        if (fractionOfSoftDeadline > SHRINK_ABOVE_FRACTION) {
            attemptLate();
        } else if (fractionOfSoftDeadline < GROW_BELOW_FRACTION && inFlight + 1 >= (int) limit) {
            limit = Math.min(MAX_LIMIT, limit + GROWTH / limit);
        }
    }

    void attemptLate() {
        limit = Math.max(1, limit * LATE_FACTOR);
    }

    void attemptFailed() {
        limit = Math.max(1, limit * ERROR_FACTOR);
    }

    void resetToMinimum() {
        limit = 1;
    }
}
