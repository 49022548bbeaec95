package hopdrum.policy.quota;

import hopdrum.policy.context.PolicyContext;

/** The counter's response times and the time-out derived from them as in TCP: the mean plus four deviations. */
final class CounterResponseTimes {
    /** The counter has an outage after this time without an answer; by then, the units spent before are refilled. */
    static final long OUTAGE_US = 1_000_000;

    private static final long MIN_TIME_OUT_US = 5_000;
    // Growth of the minimum per answer: it rises by half within about 200 answers.
    private static final double MIN_GROWTH_FACTOR = 1.002;

    private final PolicyContext context;
    private final long maxTimeOutUs;
    private double meanUs = MIN_TIME_OUT_US / 4.0;
    private double deviationUs = MIN_TIME_OUT_US / 4.0;
    // The recent minimum: the network's part of a response time, where nothing queues at the counter.
    private double recentMinUs = Double.MAX_VALUE;
    private long lastAnswerUs = PolicyContext.DISTANT_PAST_US;

    CounterResponseTimes(PolicyContext context) {
        this.context = context;
        this.maxTimeOutUs = Math.max(MIN_TIME_OUT_US, context.settings().counterTimeoutUs() * 3 / 4);
    }

    void recordAnswer(long tookUs) {
        lastAnswerUs = context.nowUs();
        recentMinUs = Math.min((double) tookUs, recentMinUs * MIN_GROWTH_FACTOR);
        deviationUs += (Math.abs(tookUs - meanUs) - deviationUs) / 4;
        meanUs += (tookUs - meanUs) / 8;
    }

    long timeOutUs() {
        return Math.min(maxTimeOutUs, Math.max(MIN_TIME_OUT_US, (long) (meanUs + 4 * deviationUs)));
    }

    double recentMinUs() {
        return recentMinUs;
    }

    /** Returns the microseconds since the last answer. */
    long timeSinceLastAnswerUs() {
        return context.nowUs() - lastAnswerUs;
    }

    boolean hasAnsweredSince(long sinceUs) {
        return lastAnswerUs >= sinceUs;
    }
}
