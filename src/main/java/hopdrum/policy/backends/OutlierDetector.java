package hopdrum.policy.backends;

import hopdrum.policy.context.PolicyContext;

/**
 * Tracks the faults of one backend and whether it is ejected for them. The tier decides whether an ejection is allowed.
 */
final class OutlierDetector {
    static final long MAX_EJECTION_US = 8_000_000;

    private static final long FIRST_EJECTION_US = 1_000_000;
    private static final double ERROR_WEIGHT = 0.15;
    private static final double ERROR_DECAY = 0.85;
    private static final double MAX_ERROR_RATE = 0.5;
    private static final int MAX_CONSECUTIVE_ERRORS = 3;
    private static final int MAX_SUSPICIONS = 2;
    private static final double HEALTHY_ERROR_RATE = 0.05;
    private static final double HEALTHY_SLOWNESS = 1.5;

    // The error rate of recent attempts, from 0 to 1.
    private double errorRate;
    private int consecutiveErrors;
    private int suspicions;
    private long ejectedUntilUs = PolicyContext.DISTANT_PAST_US;
    private long nextEjectionUs = FIRST_EJECTION_US;
    private boolean onProbation;

    boolean isEjected(long nowUs) {
        return nowUs < ejectedUntilUs;
    }

    /** Returns true after an ejection until an answer comes in good time; until then, one attempt at a time is sent. */
    boolean isOnProbation() {
        return onProbation;
    }

    double errorRate() {
        return errorRate;
    }

    /**
     * Records a successful answer.
     *
     * @param inGoodTime whether the answer ends a probation
     * @param slowness the backend's response times relative to those of its peers, before this answer
     */
    void recordSuccess(boolean inGoodTime, double slowness) {
        suspicions = 0;
        consecutiveErrors = 0;
        errorRate *= ERROR_DECAY;
        if (inGoodTime) {
            onProbation = false;
        }
        if (!onProbation && errorRate < HEALTHY_ERROR_RATE && slowness < HEALTHY_SLOWNESS) {
            nextEjectionUs = FIRST_EJECTION_US;
        }
    }

    /** Records an error; returns true if the backend should be ejected. */
    boolean recordError() {
        errorRate += ERROR_WEIGHT * (1 - errorRate);
        consecutiveErrors++;
        return consecutiveErrors >= MAX_CONSECUTIVE_ERRORS || errorRate > MAX_ERROR_RATE || onProbation;
    }

    /**
     * Records an attempt that is overdue while no other attempt was answered; returns true if the backend should be
     * ejected.
     */
    boolean recordSuspicion() {
        suspicions++;
        return suspicions >= MAX_SUSPICIONS;
    }

    /** Ejects the backend, each time for twice as long; returns the end of the ejection in microseconds. */
    long eject(long nowUs) {
        ejectedUntilUs = nowUs + nextEjectionUs;
        nextEjectionUs = Math.min(MAX_EJECTION_US, nextEjectionUs * 2);
        onProbation = true;
        suspicions = 1;
        return ejectedUntilUs;
    }
}
