package hopdrum.policy.backends;

/**
 * Limits the attempts that this gateway may have in flight over all backends of a tier. This prevents queues that the
 * gateways build together (overload, slow backends, work whose answer is no longer awaited): answers in good time raise
 * the limit while it is used up; a late answer or none lowers it.
 */
final class GatewayConcurrencyLimit {
    private static final double MIN_LIMIT = 2;
    private static final double GROWTH = 0.1;
    private static final double SHRINKAGE = 0.3;

    private double limit;

    /** Scales the limit with the number of backends: a tier of half the size can take half the load. */
    void resize(int backendsBefore, int backends, int gateways) {
        double perBackend = backendsBefore == 0 ? ConcurrencyLimit.INITIAL_TOTAL / gateways : limit / backendsBefore;
        limit = Math.max(MIN_LIMIT, perBackend * backends);
    }

    boolean allows(int inFlight) {
        return inFlight < Math.round(limit);
    }

    /** Returns false for an answer that would not change the limit, whatever is in flight. */
    static boolean mayChangeLimit(double fractionOfSoftDeadline) {
        return fractionOfSoftDeadline > ConcurrencyLimit.SHRINK_ABOVE_FRACTION
                || fractionOfSoftDeadline < ConcurrencyLimit.GROW_BELOW_FRACTION;
    }

    void attemptAnswered(double fractionOfSoftDeadline, int inFlight, int backends) {
        if (fractionOfSoftDeadline > ConcurrencyLimit.SHRINK_ABOVE_FRACTION && inFlight + 1 >= limit / 2) {
            limit = Math.max(MIN_LIMIT, limit - Math.max(SHRINKAGE, limit / 100));
        } else if (fractionOfSoftDeadline < ConcurrencyLimit.GROW_BELOW_FRACTION && inFlight + 1 >= Math.round(limit)) {
            limit = Math.min(ConcurrencyLimit.MAX_LIMIT * backends, limit + GROWTH);
        }
    }
}
