package hopdrum.policy;

/** Limits the attempts that are sent after one that may have run: each request earns a fraction of a retry. */
final class RetryBudget {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MAX_RETRIES = 15;

    private double availableRetries = MAX_RETRIES;

    void recordRequest() {
        availableRetries = Math.min(MAX_RETRIES, availableRetries + RETRIES_PER_REQUEST);
    }

    boolean allowsRetry() {
        return availableRetries >= 1;
    }

    void spendRetry() {
        availableRetries -= 1;
    }
}
