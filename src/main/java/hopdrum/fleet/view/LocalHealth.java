package hopdrum.fleet.view;

/**
 * Lifeguard's local health: an observer that was paused, cannot be reached or gets no answers doubts itself, and waits by
 * a multiple longer before it accuses others.
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
