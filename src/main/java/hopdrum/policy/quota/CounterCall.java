package hopdrum.policy.quota;

/** One call on the counter, from when it is made until its answer. */
final class CounterCall {
    final long name;
    final double units;
    final long sentAtUs;

    /** The request that waits for it; null for units that are given back or trimmed. */
    final QuotaRequest request;

    /** Units above a full burst that it trims, and what should remain then. */
    final double excess;

    final double remainingAfter;

    /** Answered, or silent past the time-out. */
    boolean settled;

    CounterCall(long name, double units, long sentAtUs, QuotaRequest request, double excess, double remainingAfter) {
        this.name = name;
        this.units = units;
        this.sentAtUs = sentAtUs;
        this.request = request;
        this.excess = excess;
        this.remainingAfter = remainingAfter;
    }

    boolean isAwaitedByRequest() {
        return request != null && !settled;
    }
}
