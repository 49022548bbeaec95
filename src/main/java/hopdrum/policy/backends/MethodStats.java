package hopdrum.policy.backends;

import hopdrum.host.Method;

/** A method's settings and what its answers usually take, learned over all backends. */
public final class MethodStats {
    /** First attempts of clients differ by less in the time that they have left. */
    private static final long REMAINING_TIME_NOISE_US = 20_000;

    private static final double LEAST_LEARNING_RATE = 0.01;
    private static final double LEAST_MEAN_GROWTH = 1.0002; // an answer: the least mean follows a slower service
    private static final double MOST_OF_SOFT_DEADLINE = 0.7;

    private final Method method;
    private final FrequentValueTracker remainingAtFirst = new FrequentValueTracker(REMAINING_TIME_NOISE_US);
    private double meanUs;
    private double deviationUs;
    private double leastMeanUs; // of late: what an answer takes where nothing queues
    private int answers;

    /** Starts from an eighth of the method's soft deadline as the mean. */
    public MethodStats(Method method) {
        this.method = method;
        this.meanUs = method.softDeadlineUs() / 8.0;
        this.deviationUs = meanUs / 2;
        this.leastMeanUs = meanUs;
    }

    /** The method's settings. */
    public Method method() {
        return method;
    }

    /**
     * How long the client has been asking, in microseconds. First attempts have the same time left, the most common one; a
     * client's retry has what remains of its whole time.
     *
     * @param remainingUs how long the client will still wait
     */
    public long elapsedUs(long remainingUs) {
        return remainingAtFirst.recordIsMostFrequent(remainingUs) ? 0 : Math.max(0, method.deadlineUs() - remainingUs);
    }

    /** Takes in the time of an answer, in microseconds. */
    public void learn(long tookUs) {
        answers++;
        double rate = Math.max(LEAST_LEARNING_RATE, 1.0 / (answers + 4));
        double cappedUs = Math.min(tookUs, method.softDeadlineUs());
        deviationUs += rate * (Math.abs(cappedUs - meanUs) - deviationUs);
        meanUs += rate * (cappedUs - meanUs);
        leastMeanUs = Math.min(leastMeanUs * LEAST_MEAN_GROWTH, meanUs);
    }

    /** The time within which most answers come, in microseconds: one that has less left is likely to be late. */
    public long usualUs() {
        return (long) Math.min(meanUs + 3 * deviationUs, method.softDeadlineUs() * MOST_OF_SOFT_DEADLINE);
    }

    /** The time after which an attempt without an answer is suspicious, in microseconds. */
    public long patienceUs() {
        return (long) Math.max(
                2 * meanUs, Math.min(meanUs + 4 * deviationUs, method.softDeadlineUs() * MOST_OF_SOFT_DEADLINE));
    }

    double meanUs() {
        return meanUs;
    }

    double leastMeanUs() {
        return leastMeanUs;
    }
}
