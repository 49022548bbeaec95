package hopdrum.policy;

/** Bounds the attempts sent after one that may have run: each request earns a part of one. */
final class RetryBudget {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MOST_RETRIES = 15;

    private double retries = MOST_RETRIES;

    void earn() {
        retries = Math.min(MOST_RETRIES, retries + RETRIES_PER_REQUEST);
    }

    boolean allows() {
        return retries >= 1;
    }

    void spend() {
        retries -= 1;
    }
}
