package hopdrum.policy.backends;

import hopdrum.policy.context.PolicyContext;

/** The faults of one backend, and whether it is ejected for them. The tier decides whether an ejection is allowed. */
final class OutlierDetector {
    static final long LONGEST_EJECTION_US = 8_000_000;

    private static final long FIRST_EJECTION_US = 1_000_000;
    private static final double ERROR_WEIGHT = 0.15;
    private static final double ERROR_DECAY = 0.85;
    private static final double MOST_ERRORS = 0.5;
    private static final int MOST_CONSECUTIVE_ERRORS = 3;
    private static final int MOST_SUSPICIONS = 2;
    private static final double SOUND_ERROR_RATE = 0.05;
    private static final double SOUND_SLOWNESS = 1.5;

    private double errorRate; // of late attempts
    private int consecutiveErrors;
    private int suspicions;
    private long ejectedUntilUs = PolicyContext.NEVER;
    private long nextEjectionUs = FIRST_EJECTION_US;
    private boolean onProbation;

    boolean isEjected(long nowUs) {
        return nowUs < ejectedUntilUs;
    }

    /** After an ejection, until an answer in good time: one attempt at a time. */
    boolean isOnProbation() {
        return onProbation;
    }

    double errorRate() {
        return errorRate;
    }

    /**
     * Takes in an answer.
     *
     * @param inGoodTime whether it ends a probation
     * @param slowness the backend's response times against its peers', before this answer
     */
    void recordSuccess(boolean inGoodTime, double slowness) {
        suspicions = 0;
        consecutiveErrors = 0;
        errorRate *= ERROR_DECAY;
        if (inGoodTime) {
            onProbation = false;
        }
        if (!onProbation && errorRate < SOUND_ERROR_RATE && slowness < SOUND_SLOWNESS) {
            nextEjectionUs = FIRST_EJECTION_US;
        }
    }

    /** Takes in a fault; true if the backend should be ejected for it. */
    boolean recordError() {
        errorRate += ERROR_WEIGHT * (1 - errorRate);
        consecutiveErrors++;
        return consecutiveErrors >= MOST_CONSECUTIVE_ERRORS || errorRate > MOST_ERRORS || onProbation;
    }

    /** Takes in an attempt that is overdue while nothing else was answered; true if the backend should be ejected. */
    boolean recordSuspicion() {
        suspicions++;
        return suspicions >= MOST_SUSPICIONS;
    }

    /** Ejects the backend, each time for twice as long; returns until when. */
    long eject(long nowUs) {
        ejectedUntilUs = nowUs + nextEjectionUs;
        nextEjectionUs = Math.min(LONGEST_EJECTION_US, nextEjectionUs * 2);
        onProbation = true;
        suspicions = 1;
        return ejectedUntilUs;
    }
}
