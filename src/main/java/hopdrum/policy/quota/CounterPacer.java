package hopdrum.policy.quota;

import hopdrum.host.Settings;
import hopdrum.policy.context.PolicyContext;

/**
 * The pace of this gateway's calls on the counter. Guards a counter that is crowded, slow, rejecting or dead: a call lost
 * lowers the pace, answers raise it, as in TCP; it ends when calls are far fewer than it allows.
 */
final class CounterPacer {
    private static final double UNLIMITED = Double.MAX_VALUE;
    private static final double LEAST_PACE = 60; // calls a second, by all gateways, to a dead counter
    private static final double LOSS_FACTOR = 0.85; // for a call lost
    private static final double GAIN = 0.03; // for a call answered, times the seconds without loss
    private static final double RECOVERY_S = 5; // without loss, before the pace may end
    private static final double QUICK_ANSWER_DIVISOR = 6.0; // of the counter's limit: a quick answer takes less
    private static final double BURST_DIVISOR = 10; // of the pace: so many calls may be made at once

    private final PolicyContext context;
    private final Settings settings;
    private final CounterResponseTimes responseTimes;
    private final long startedAtUs;
    private double pace = UNLIMITED; // calls a second
    private double knownGoodPace;
    private double allowance = 1; // calls that may be made now
    private long allowanceAtUs;
    private double callRate; // calls a second, over the last second or so
    private long lastCallUs;
    private long lastLossUs;
    private boolean answeredSinceLoss;

    CounterPacer(PolicyContext context, CounterResponseTimes responseTimes) {
        this.context = context;
        this.settings = context.settings();
        this.responseTimes = responseTimes;
        this.startedAtUs = context.nowUs();
    }

    /** While it is paced, the buckets admit what they can, and calls go to what they would reject. */
    boolean isPaced() {
        return pace < UNLIMITED;
    }

    boolean callsAreScarce() {
        return isPaced() && allowance < 2;
    }

    /** Whether a call may be made now. */
    boolean mayCall() {
        if (!settings.counterAvailable()) {
            return false;
        }
        if (!isPaced()) {
            return true;
        }
        long nowUs = context.nowUs();
        allowance = Math.min(Math.max(1, pace / BURST_DIVISOR), allowance + pace * (nowUs - allowanceAtUs) / 1e6);
        allowanceAtUs = nowUs;
        return allowance >= 1;
    }

    void called() {
        long nowUs = context.nowUs();
        callRate = callRate * Math.exp((lastCallUs - nowUs) / 1e6) + 1;
        lastCallUs = nowUs;
        allowance -= 1;
    }

    private double callRateNow() {
        long nowUs = context.nowUs();
        double seen = 1 - Math.exp((startedAtUs - nowUs - 1) / 1e6); // of a full window, just after a start
        return callRate * Math.exp((lastCallUs - nowUs) / 1e6) / seen;
    }

    /** A call was answered; the response times have it already. */
    void answered(long tookUs) {
        answeredSinceLoss = true;
        if (!isPaced()) {
            return;
        }
        double sinceLossS = (context.nowUs() - lastLossUs) / 1e6;
        if (pace < knownGoodPace) {
            pace = Math.min(knownGoodPace, pace * 2);
        } else if (tookUs - responseTimes.leastUs() < settings.counterTimeoutUs() / QUICK_ANSWER_DIVISOR
                && allowance < 2) {
            pace *= 1 + GAIN * (1 + sinceLossS);
        }
        if (sinceLossS > RECOVERY_S && pace > 1.5 * callRateNow()) {
            pace = UNLIMITED;
            knownGoodPace = 0;
        }
    }

    /** A call was rejected or never answered. Calls lost within one time-out are one loss. */
    void lost() {
        long nowUs = context.nowUs();
        if (isPaced() && nowUs - lastLossUs < responseTimes.timeOutUs()) {
            return;
        }
        if (!isPaced()) {
            allowance = 0; // calls made before it was limited are no debt
        }
        if (answeredSinceLoss) {
            knownGoodPace = (isPaced() ? pace : callRateNow()) * LOSS_FACTOR;
        }
        pace = Math.max(LEAST_PACE / settings.gatewayCount(), (isPaced() ? pace : callRateNow()) * LOSS_FACTOR);
        answeredSinceLoss = false;
        lastLossUs = nowUs;
    }
}
