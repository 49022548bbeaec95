package hopdrum.fleet.view;

/**
 * Lifeguard's local health: an observer that was paused, is unreachable or gets no answers may itself be at fault, and
 * multiplies its timeouts before it suspects others.
 */
final class LocalHealth {
    private static final int WORST_SCORE = 8;
    private int score; // 0: healthy

    /** By how much all probe timeouts are multiplied. */
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
