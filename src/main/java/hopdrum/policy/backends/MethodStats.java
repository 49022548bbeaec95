package hopdrum.policy.backends;

import hopdrum.host.Method;

/** The settings of a method and its usual response times, learned over all backends. */
public final class MethodStats {
    /** The remaining times of first attempts of clients differ by less than this, in microseconds. */
    private static final long REMAINING_TIME_TOLERANCE_US = 20_000;

    private static final double MIN_LEARNING_RATE = 0.01;
    // Growth of the minimum per answer, so that it follows a service that becomes slower.
    private static final double MIN_MEAN_GROWTH_FACTOR = 1.0002;
    private static final double MAX_SOFT_DEADLINE_FRACTION = 0.7;

    private final Method method;
    private final FrequentValueTracker firstRemainingTimes = new FrequentValueTracker(REMAINING_TIME_TOLERANCE_US);
    private double meanUs;
    private double deviationUs;
    // The recent minimum of the mean: the duration of an answer where nothing queues.
    private double minMeanUs;
    private int answers;

    /** Creates statistics that take an eighth of the soft deadline as the initial mean. */
    public MethodStats(Method method) {
        this.method = method;
        this.meanUs = method.softDeadlineUs() / 8.0;
        this.deviationUs = meanUs / 2;
        this.minMeanUs = meanUs;
    }

    /** Returns the settings of the method. */
    public Method method() {
        return method;
    }

    /**
     * Returns how long the client has been trying, in microseconds. Requests that a client sends first have the most
     * frequent remaining time; a client's retry has what is left of the whole deadline.
     *
     * @param remainingUs how long the client will still wait, in microseconds
     */
    public long clientElapsedUs(long remainingUs) {
        return firstRemainingTimes.recordIsMostFrequent(remainingUs)
                ? 0
                : Math.max(0, method.deadlineUs() - remainingUs);
    }

    /** Records the response time of an answer in microseconds. */
    public void recordResponseTime(long tookUs) {
        answers++;
        double rate = Math.max(MIN_LEARNING_RATE, 1.0 / (answers + 4));
        double cappedUs = Math.min(tookUs, method.softDeadlineUs());
        deviationUs += rate * (Math.abs(cappedUs - meanUs) - deviationUs);
        meanUs += rate * (cappedUs - meanUs);
        minMeanUs = Math.min(minMeanUs * MIN_MEAN_GROWTH_FACTOR, meanUs);
    }

    /**
     * Returns the time within which most answers come, in microseconds; a request with less time left is likely to be
     * late.
     */
    public long typicalResponseTimeUs() {
        return (long) Math.min(meanUs + 3 * deviationUs, method.softDeadlineUs() * MAX_SOFT_DEADLINE_FRACTION);
    }

    /** Returns the time after which an attempt without an answer is suspicious, in microseconds. */
    public long suspicionTimeoutUs() {
        return (long) Math.max(
                2 * meanUs, Math.min(meanUs + 4 * deviationUs, method.softDeadlineUs() * MAX_SOFT_DEADLINE_FRACTION));
    }

    double meanUs() {
        return meanUs;
    }

    double minMeanUs() {
        return minMeanUs;
    }
}
