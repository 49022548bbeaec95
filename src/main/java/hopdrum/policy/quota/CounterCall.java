package hopdrum.policy.quota;

/** One call on the counter, from its start until its answer. */
final class CounterCall {
    final long name;
    final double units;
    final long sentAtUs;

    /** The request that waits for the answer; null for a call that returns units or trims excess units. */
    final QuotaRequest request;

    /** The units above a full burst that this call trims; 0 for other calls. */
    final double excessUnits;

    /** The units that should remain after a call that trims excess units. */
    final double expectedRemaining;

    /** True once the call was answered or has timed out. */
    boolean settled;

    CounterCall(
            long name,
            double units,
            long sentAtUs,
            QuotaRequest request,
            double excessUnits,
            double expectedRemaining) {
        this.name = name;
        this.units = units;
        this.sentAtUs = sentAtUs;
        this.request = request;
        this.excessUnits = excessUnits;
        this.expectedRemaining = expectedRemaining;
    }

    boolean isAwaitedByRequest() {
        return request != null && !settled;
    }
}
