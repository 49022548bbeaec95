package hopdrum.policy.backends;

/**
 * How many attempts this gateway may have in flight over all backends of a tier. Guards against queues that the gateways
 * build together (overload, slow backends, work nobody waits for): answers in good time raise the limit while it is used
 * up; a late answer, or none, lowers it.
 */
final class GatewayConcurrencyLimit {
    private static final double LEAST = 2;
    private static final double GROWTH = 0.1;
    private static final double SHRINKAGE = 0.3;

    private double limit;

    /** A tier half as large bears half as much: the limit follows the number of backends. */
    void resize(int backendsBefore, int backends, int gateways) {
        double perBackend = backendsBefore == 0 ? ConcurrencyLimit.INITIAL / gateways : limit / backendsBefore;
        limit = Math.max(LEAST, perBackend * backends);
    }

    boolean allows(int inFlight) {
        return inFlight < Math.round(limit);
    }

    /** False for an answer that would not change the limit, whatever is in flight. */
    static boolean isSignal(double fractionOfSoftDeadline) {
        return fractionOfSoftDeadline > ConcurrencyLimit.SHRINK_ABOVE
                || fractionOfSoftDeadline < ConcurrencyLimit.GROW_BELOW;
    }

    void answered(double fractionOfSoftDeadline, int inFlight, int backends) {
        if (fractionOfSoftDeadline > ConcurrencyLimit.SHRINK_ABOVE && inFlight + 1 >= limit / 2) {
            limit = Math.max(LEAST, limit - Math.max(SHRINKAGE, limit / 100));
        } else if (fractionOfSoftDeadline < ConcurrencyLimit.GROW_BELOW && inFlight + 1 >= Math.round(limit)) {
            limit = Math.min(ConcurrencyLimit.MOST * backends, limit + GROWTH);
        }
    }
}
