package hopdrum.policy.backends;

/** How many attempts of this gateway may be in flight at one backend; it falls with late answers and errors. */
final class ConcurrencyLimit {
    /** At one backend at the start, of all gateways together. */
    static final double INITIAL = 6;

    /** At one backend, of one gateway. */
    static final double MOST = 64;

    /** A fraction of the soft deadline: an answer that came sooner shows that one attempt more does no harm. */
    static final double GROW_BELOW = 0.25;

    /** A fraction of the soft deadline: an answer that came later shows that the limit is too high. */
    static final double SHRINK_ABOVE = 0.5;

    private static final double LATE_FACTOR = 0.9;
    private static final double ERROR_FACTOR = 0.8;
    private static final double GROWTH = 0.1;

    private double limit;

    ConcurrencyLimit(int gateways) {
        limit = Math.max(1, 2 * INITIAL / gateways);
    }

    int current() {
        return Math.max(1, (int) limit);
    }

    void answered(double fractionOfSoftDeadline, int inFlight) {
        if (fractionOfSoftDeadline > SHRINK_ABOVE) {
            late();
        } else if (fractionOfSoftDeadline < GROW_BELOW && inFlight + 1 >= (int) limit) {
            limit = Math.min(MOST, limit + GROWTH / limit);
        }
    }

    void late() {
        limit = Math.max(1, limit * LATE_FACTOR);
    }

    void failed() {
        limit = Math.max(1, limit * ERROR_FACTOR);
    }

    void reset() {
        limit = 1;
    }
}
