package hopdrum.policy.quota;

import hopdrum.host.Settings;
import hopdrum.policy.context.PolicyContext;

/**
 * Limits the rate of this gateway's calls on the counter. This protects a counter that is overloaded, slow, rejecting
 * or dead: as in TCP, a lost call lowers the rate limit and answers raise it. The limit is lifted once calls are far
 * fewer than it allows.
 */
final class CounterPacer {
    private static final double UNLIMITED = Double.MAX_VALUE;
    // Calls per second of all gateways together to a counter that answers none.
    private static final double MIN_TOTAL_RATE = 60;
    // Factor that a lost call applies to the rate limit.
    private static final double LOSS_FACTOR = 0.85;
    // Relative growth of the rate limit for an answered call, multiplied by one plus the seconds without a loss.
    private static final double INCREASE_FACTOR = 0.03;
    // Seconds without a loss before the rate limit may be lifted.
    private static final double RECOVERY_S = 5;
    // An answer is quick if it takes less than this part of the counter's own time limit.
    private static final double QUICK_ANSWER_DIVISOR = 6.0;
    // The calls that may be made at once are the rate limit divided by this.
    private static final double BURST_DIVISOR = 10;

    private final PolicyContext context;
    private final Settings settings;
    private final CounterResponseTimes responseTimes;
    private final long startedAtUs;
    private double rateLimit = UNLIMITED; // calls per second
    private double lastGoodRate;
    // The calls that may be made now, as in a token bucket.
    private double tokens = 1;
    private long tokensAtUs;
    // Calls per second over about the last second.
    private double recentCallRate;
    private long lastCallUs;
    private long lastLossUs;
    private boolean answeredSinceLoss;

    CounterPacer(PolicyContext context, CounterResponseTimes responseTimes) {
        this.context = context;
        this.settings = context.settings();
        this.responseTimes = responseTimes;
        this.startedAtUs = context.nowUs();
    }

    /**
     * Returns true while calls are limited: then leaky buckets admit what they can, and calls are spent on what the
     * buckets would reject.
     */
    boolean isPaced() {
        return rateLimit < UNLIMITED;
    }

    boolean callsAreScarce() {
        return isPaced() && tokens < 2;
    }

    /** Returns true if a call may be made now. */
    boolean mayCall() {
        if (!settings.counterAvailable()) {
            return false;
        }
        if (!isPaced()) {
            return true;
        }
        long nowUs = context.nowUs();
        tokens = Math.min(Math.max(1, rateLimit / BURST_DIVISOR), tokens + rateLimit * (nowUs - tokensAtUs) / 1e6);
        tokensAtUs = nowUs;
        return tokens >= 1;
    }

    void callMade() {
        long nowUs = context.nowUs();
        recentCallRate = recentCallRate * Math.exp((lastCallUs - nowUs) / 1e6) + 1;
        lastCallUs = nowUs;
        tokens -= 1;
    }

    private double currentCallRate() {
        long nowUs = context.nowUs();
        // The part of a full window that has passed, less than 1 just after a start.
        double seenFraction = 1 - Math.exp((startedAtUs - nowUs - 1) / 1e6);
        return recentCallRate * Math.exp((lastCallUs - nowUs) / 1e6) / seenFraction;
    }

    /** Records the answer to a call. {@link CounterResponseTimes} must have recorded it before. */
    void callAnswered(long tookUs) {
        answeredSinceLoss = true;
        if (!isPaced()) {
            return;
        }
        double sinceLossS = (context.nowUs() - lastLossUs) / 1e6;
        if (rateLimit < lastGoodRate) {
            rateLimit = Math.min(lastGoodRate, rateLimit * 2);
        } else if (tookUs - responseTimes.recentMinUs() < settings.counterTimeoutUs() / QUICK_ANSWER_DIVISOR
                && tokens < 2) {
            rateLimit *= 1 + INCREASE_FACTOR * (1 + sinceLossS);
        }
        if (sinceLossS > RECOVERY_S && rateLimit > 1.5 * currentCallRate()) {
            rateLimit = UNLIMITED;
            lastGoodRate = 0;
        }
    }

    /** Records that a call was rejected or never answered. Calls lost within one time-out count as one loss. */
    void callLost() {
        long nowUs = context.nowUs();
        if (isPaced() && nowUs - lastLossUs < responseTimes.timeOutUs()) {
            return;
        }
        if (!isPaced()) {
            // Calls made before the limit applied do not count against it.
            tokens = 0;
        }
        if (answeredSinceLoss) {
            lastGoodRate = (isPaced() ? rateLimit : currentCallRate()) * LOSS_FACTOR;
        }
        rateLimit = Math.max(
                MIN_TOTAL_RATE / settings.gatewayCount(), (isPaced() ? rateLimit : currentCallRate()) * LOSS_FACTOR);
        answeredSinceLoss = false;
        lastLossUs = nowUs;
    }
}
