package hopdrum.policy.backends;

import hopdrum.host.Endpoint;
import hopdrum.host.Settings;
import hopdrum.policy.context.PolicyContext;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The slow start of one backend: limits the work that this gateway sends to a recently started backend, per window, to
 * its share of what the backend can take. To keep the sum of all gateways within the limit, each gateway that learns of
 * the backend waits for its first turn, by its number, in the cycle that fills a share.
 */
final class SlowStart {
    /** The fraction of the budget that is used; the rest allows for random variation. */
    private static final double BUDGET_MARGIN = 0.5;

    /**
     * An attempt sent during slow start.
     *
     * @param sentAtUs when the attempt was sent, in microseconds
     * @param workUs the expected work of the attempt in microseconds of one core
     */
    private record ColdAttempt(long sentAtUs, long workUs) {}

    private final PolicyContext context;
    private final Settings settings;
    private final Endpoint endpoint;
    // Later than the start of the backend if the endpoint list is late or this gateway has just started.
    private final long knownAtUs;
    // Attempts are removed as the window passes.
    private final Deque<ColdAttempt> attempts = new ArrayDeque<>();

    SlowStart(PolicyContext context, Endpoint endpoint) {
        this.context = context;
        this.settings = context.settings();
        this.endpoint = endpoint;
        this.knownAtUs = context.nowUs();
    }

    boolean isActive() {
        return endpoint.startedAtUs() != 0 && context.nowUs() - endpoint.startedAtUs() < settings.slowStartDurationUs();
    }

    /** Forgets the attempts of a slow start that is over. */
    void forgetAttempts() {
        attempts.clear();
    }

    /**
     * Returns true if one more attempt keeps within this gateway's share.
     *
     * @param workUs the expected work of the attempt in microseconds of one core
     * @param warmBackendCores the work, in cores, that a warm backend of this size takes
     */
    boolean allowsAttempt(double workUs, double warmBackendCores) {
        long nowUs = context.nowUs();
        long ageUs = nowUs - endpoint.startedAtUs();
        double fraction = settings.slowStartInitialFraction()
                + (1 - settings.slowStartInitialFraction()) * Math.max(0, ageUs) / settings.slowStartDurationUs();
        double windowUs = settings.overloadWindowUs();
        double budgetUs = BUDGET_MARGIN
                * settings.overloadFactor()
                * fraction
                * windowUs
                * warmBackendCores
                / settings.gatewayCount();
        double cycleUs = windowUs * Math.max(1, workUs / budgetUs);
        while (!attempts.isEmpty() && attempts.peek().sentAtUs < nowUs - cycleUs) {
            attempts.poll();
        }
        if (!attempts.isEmpty()) {
            return attempts.stream().mapToLong(ColdAttempt::workUs).sum() + workUs <= budgetUs;
        }
        return nowUs >= knownAtUs + cycleUs * settings.ordinal() / settings.gatewayCount();
    }

    /** Records an attempt that was sent. */
    void attemptStarted(double workUs) {
        if (isActive()) {
            attempts.add(new ColdAttempt(context.nowUs(), (long) workUs));
        }
    }
}
