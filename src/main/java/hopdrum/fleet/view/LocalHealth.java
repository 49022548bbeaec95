package hopdrum.fleet.view;

/**
 * Lifeguard's local health. A member that was paused, cannot be reached or gets no answers may itself be at fault, so
 * it multiplies its probe timeouts before it suspects others.
 */
final class LocalHealth {
    private static final int WORST_SCORE = 8;
    private int score; // 0 is healthy

    /** Returns the factor by which all probe timeouts are multiplied. */
    int timeoutMultiplier() {
        return score + 1;
    }

    void improve() {
        score = Math.max(0, score - 1);
    }

    void degrade(long by) {
        score = (int) Math.min(WORST_SCORE, score + by);
    }
}
