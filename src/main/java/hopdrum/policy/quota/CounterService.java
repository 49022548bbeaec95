package hopdrum.policy.quota;

import hopdrum.policy.context.PolicyContext;

/** What all customers of one gateway share of the counter: its response times, the pace of calls, the pool of debts. */
final class CounterService {
    /** Requests of others that a call stands for at most, over its own. */
    private static final double MOST_POOLED = 2;

    final CounterResponseTimes responseTimes;
    final CounterPacer pacer;
    final long startedAtUs;
    private final PolicyContext context;
    private double uncountedUnits; // admitted by shares that hold no request, and in no count yet

    CounterService(PolicyContext context) {
        this.context = context;
        this.startedAtUs = context.nowUs();
        this.responseTimes = new CounterResponseTimes(context);
        this.pacer = new CounterPacer(context, responseTimes);
    }

    /** Sends an add; the answer comes to {@code QuotaTable}. */
    void add(long name, double units) {
        pacer.called();
        context.host().addToCounter(name, units, CounterName.EPOCH_US);
    }

    /** True where an answer came within the last second. */
    boolean isAnswering() {
        return responseTimes.silentForUs() < CounterResponseTimes.OUTAGE_US;
    }

    void poolUncounted(double units) {
        uncountedUnits += units;
    }

    /** Takes from the pool what a call for so many units may add for others. */
    double takeUncounted(double units) {
        double others = Math.min(uncountedUnits, MOST_POOLED * units);
        uncountedUnits -= others;
        return others;
    }
}
