package hopdrum.policy.quota;

import hopdrum.policy.context.PolicyContext;

/**
 * The state of the counter that all customers of one gateway share: its response times, the rate limit on calls, and
 * the pool of units that are not counted yet.
 */
final class CounterService {
    /** The most units of other customers that a call may add, as a multiple of its own units. */
    private static final double MAX_POOLED_RATIO = 2;

    final CounterResponseTimes responseTimes;
    final CounterPacer pacer;
    final long startedAtUs;
    private final PolicyContext context;
    // Units that were admitted by shares of less than one request and are in no count yet.
    private double uncountedUnits;

    CounterService(PolicyContext context) {
        this.context = context;
        this.startedAtUs = context.nowUs();
        this.responseTimes = new CounterResponseTimes(context);
        this.pacer = new CounterPacer(context, responseTimes);
    }

    /** Adds units to a name on the counter; the answer arrives at {@code QuotaTable}. */
    void addUnits(long name, double units) {
        pacer.callMade();
        context.host().addToCounter(name, units, CounterName.EPOCH_US);
    }

    /** Returns true if an answer came within the last second. */
    boolean isAnswering() {
        return responseTimes.timeSinceLastAnswerUs() < CounterResponseTimes.OUTAGE_US;
    }

    void poolUncountedUnits(double units) {
        uncountedUnits += units;
    }

    /** Takes from the pool the units of other customers that a call for the given units may add. */
    double takeUncountedUnits(double units) {
        double unitsOfOthers = Math.min(uncountedUnits, MAX_POOLED_RATIO * units);
        uncountedUnits -= unitsOfOthers;
        return unitsOfOthers;
    }
}
