package hopdrum.policy.backends;

import hopdrum.host.Endpoint;
import hopdrum.host.Settings;
import hopdrum.policy.context.PolicyContext;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The slow start of one backend: this gateway's share of what a backend that has just started can take, counted as work
 * in a window. Guards against the sum of all gateways: from when they know of it, each has its first turn by its number
 * in the cycle that fills a share.
 */
final class SlowStart {
    /** The fraction of the budget that is used; the rest is left for chance. */
    private static final double BUDGET_MARGIN = 0.5;

    /** An attempt sent during slow start, and the work that it is expected to be. */
    private record ColdAttempt(long sentAtUs, long workUs) {}

    private final PolicyContext context;
    private final Settings settings;
    private final Endpoint endpoint;
    private final long knownAtUs; // after its start, where the list is late or this gateway has just started
    private final Deque<ColdAttempt> attempts = new ArrayDeque<>(); // emptied as the window passes

    SlowStart(PolicyContext context, Endpoint endpoint) {
        this.context = context;
        this.settings = context.settings();
        this.endpoint = endpoint;
        this.knownAtUs = context.nowUs();
    }

    boolean isActive() {
        return endpoint.startedAtUs() != 0 && context.nowUs() - endpoint.startedAtUs() < settings.slowStartDurationUs();
    }

    /** Drops what was remembered for a slow start that is over. */
    void clear() {
        attempts.clear();
    }

    /**
     * Whether one attempt more keeps within this gateway's share.
     *
     * @param workUs the work that it is expected to be, in microseconds of one core
     * @param warmCores the cores' worth of work that a warm backend of this size takes
     */
    boolean allows(double workUs, double warmCores) {
        long nowUs = context.nowUs();
        long ageUs = nowUs - endpoint.startedAtUs();
        double fraction = settings.slowStartInitialFraction()
                + (1 - settings.slowStartInitialFraction()) * Math.max(0, ageUs) / settings.slowStartDurationUs();
        double windowUs = settings.overloadWindowUs();
        double budgetUs =
                BUDGET_MARGIN * settings.overloadFactor() * fraction * windowUs * warmCores / settings.gatewayCount();
        double cycleUs = windowUs * Math.max(1, workUs / budgetUs);
        while (!attempts.isEmpty() && attempts.peek().sentAtUs < nowUs - cycleUs) {
            attempts.poll();
        }
        if (!attempts.isEmpty()) {
            return attempts.stream().mapToLong(ColdAttempt::workUs).sum() + workUs <= budgetUs;
        }
        return nowUs >= knownAtUs + cycleUs * settings.ordinal() / settings.gatewayCount();
    }

    /** Takes in an attempt that has been sent. */
    void attemptStarted(double workUs) {
        if (isActive()) {
            attempts.add(new ColdAttempt(context.nowUs(), (long) workUs));
        }
    }
}
