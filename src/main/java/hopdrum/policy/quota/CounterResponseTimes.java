package hopdrum.policy.quota;

import hopdrum.policy.context.PolicyContext;

/** The counter's response times and the time-out that follows from them, as TCP's: mean and four deviations. */
final class CounterResponseTimes {
    /** Without an answer for so long, it is an outage: what was spent before is refilled. */
    static final long OUTAGE_US = 1_000_000;

    private static final long LEAST_TIME_OUT_US = 5_000;
    private static final double LEAST_GROWTH = 1.002; // an answer: half as much again in some 200 of them

    private final PolicyContext context;
    private final long mostTimeOutUs;
    private double meanUs = LEAST_TIME_OUT_US / 4.0;
    private double deviationUs = LEAST_TIME_OUT_US / 4.0;
    private double leastUs = Double.MAX_VALUE; // of late: the network's part, where nothing queues at the counter
    private long lastAnswerUs = PolicyContext.NEVER;

    CounterResponseTimes(PolicyContext context) {
        this.context = context;
        this.mostTimeOutUs = Math.max(LEAST_TIME_OUT_US, context.settings().counterTimeoutUs() * 3 / 4);
    }

    void answered(long tookUs) {
        lastAnswerUs = context.nowUs();
        leastUs = Math.min((double) tookUs, leastUs * LEAST_GROWTH);
        deviationUs += (Math.abs(tookUs - meanUs) - deviationUs) / 4;
        meanUs += (tookUs - meanUs) / 8;
    }

    long timeOutUs() {
        return Math.min(mostTimeOutUs, Math.max(LEAST_TIME_OUT_US, (long) (meanUs + 4 * deviationUs)));
    }

    double leastUs() {
        return leastUs;
    }

    /** Microseconds since the last answer. */
    long silentForUs() {
        return context.nowUs() - lastAnswerUs;
    }

    boolean hasAnsweredSince(long sinceUs) {
        return lastAnswerUs >= sinceUs;
    }
}
