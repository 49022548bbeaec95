package hopdrum.policy;

import hopdrum.host.Method;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import hopdrum.host.Settings;
import hopdrum.policy.backends.Backend;
import hopdrum.policy.backends.MethodStats;
import hopdrum.policy.backends.RoutableRequest;
import hopdrum.policy.context.PolicyContext;
import hopdrum.policy.quota.CustomerQuota;
import hopdrum.policy.quota.QuotaRequest;
import java.util.ArrayList;
import java.util.List;

/** The state of one request, and which further attempts and which final answer are safe for it. */
final class TrackedRequest implements Request, RoutableRequest, QuotaRequest {
    /** The tier of this gateway's own backends; others are partners'. */
    static final int OWN_TIER = 0;

    /** How far a request has come; a request only goes forward. */
    enum Stage {
        NEW,
        AWAITING_COUNTER,
        QUEUED,
        FORWARDED,
        DONE
    }

    /** What is done on the events of a request. */
    interface Listener {
        /** It may take its next step: NEW asks for admission, QUEUED waits for a backend. */
        void ready(TrackedRequest request);

        /** It is beyond its customer's quota. */
        void rejected(TrackedRequest request, long retryAfterUs);

        /** As {@link Request#attemptEnded}, for an attempt that was in flight. */
        void attemptEnded(
                TrackedRequest request,
                Attempt attempt,
                Outcome outcome,
                long tookUs,
                boolean clientAnswered,
                int settledUnits,
                float[] report);

        /** Its client has left before its final answer. */
        void clientLeft(TrackedRequest request);
    }

    final long id;
    final long order; // in which requests came in
    final CustomerQuota customer;
    final long softDeadlineAtUs;
    final long startByUs; // later it is not likely to meet its soft deadline
    final long giveUpAtUs;
    final List<Attempt> attempts = new ArrayList<>(1);
    int attemptsInFlight;
    int tier = -1; // whose backends may run it; before it is admitted, nobody's
    Stage stage = Stage.NEW;
    boolean streaming;
    private final PolicyContext context;
    private final Listener listener;
    private final MethodStats methodStats;
    private final double units;
    private double chargedUnits;
    private boolean admitted;

    TrackedRequest(
            PolicyContext context,
            Listener listener,
            long id,
            long order,
            MethodStats methodStats,
            CustomerQuota customer,
            double units,
            long remainingUs) {
        this.context = context;
        this.listener = listener;
        this.id = id;
        this.order = order;
        this.methodStats = methodStats;
        this.customer = customer;
        this.units = units;
        Method method = methodStats.method();
        long marginUs = 2 * context.settings().tickUs() + 1_000;
        long nowUs = context.nowUs();
        long deadlineAtUs = nowUs + remainingUs;
        this.softDeadlineAtUs =
                Math.min(deadlineAtUs, nowUs + method.softDeadlineUs() - methodStats.elapsedUs(remainingUs));
        this.startByUs = softDeadlineAtUs - methodStats.usualUs();
        this.giveUpAtUs = (method.lateUtility() > 0 ? deadlineAtUs : softDeadlineAtUs) - marginUs;
    }

    // ---- The handle ----

    @Override
    public void attemptEnded(
            int number, Outcome outcome, long tookUs, boolean clientAnswered, int settledUnits, float[] report) {
        if (number >= attempts.size() || !attempts.get(number).inFlight) {
            return;
        }
        Attempt attempt = attempts.get(number);
        attempt.inFlight = false;
        attemptsInFlight--;
        attempt.neverRan = outcome == Outcome.AT_CAPACITY
                || outcome == Outcome.CONNECT_FAILED
                || outcome == Outcome.INVALID_REQUEST;
        listener.attemptEnded(this, attempt, outcome, tookUs, clientAnswered, settledUnits, report);
    }

    @Override
    public void streamStarted(int attempt) {
        streaming = true;
    }

    @Override
    public void clientLeft() {
        if (!isDone()) {
            listener.clientLeft(this);
        }
    }

    @Override
    public boolean isFinished() {
        return isDone() && attemptsInFlight == 0;
    }

    /** True once it has its final answer, or its client has left. */
    boolean isDone() {
        return stage == Stage.DONE;
    }

    // ---- As its quota sees it ----

    @Override
    public double units() {
        return units;
    }

    @Override
    public double chargedUnits() {
        return chargedUnits;
    }

    @Override
    public void setChargedUnits(double charged) {
        chargedUnits = charged;
    }

    @Override
    public boolean isAwaitingCounter() {
        return stage == Stage.AWAITING_COUNTER;
    }

    @Override
    public boolean isAdmitted() {
        return admitted;
    }

    @Override
    public void admit() {
        admitted = true;
        stage = Stage.QUEUED;
        listener.ready(this);
    }

    @Override
    public void reject(long retryAfterUs) {
        listener.rejected(this, retryAfterUs);
    }

    @Override
    public void retryAdmission() {
        listener.ready(this);
    }

    // ---- As the choice of a backend sees it ----

    @Override
    public MethodStats methodStats() {
        return methodStats;
    }

    @Override
    public Plan plan() {
        return customer.plan();
    }

    @Override
    public boolean mayRunOn(Backend backend) {
        Attempt first = firstThatMayHaveRun();
        Method method = methodStats.method();
        if (first == null || method.retrySafety() == Method.RetrySafety.IDEMPOTENT) {
            return true;
        }
        return method.retrySafety() == Method.RetrySafety.DEDUPLICATED
                && context.nowUs() < retryByUs()
                && switch (method.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE ->
                        backend.endpoint().zone() == first.backend.endpoint().zone();
                    case CELL ->
                        backend.endpoint().cell() == first.backend.endpoint().cell();
                };
    }

    @Override
    public boolean hasTried(Backend backend) {
        for (Attempt attempt : attempts) {
            if (attempt.backend.isSameAs(backend)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public boolean isInFlightAt(Backend backend) {
        for (Attempt attempt : attempts) {
            if (attempt.inFlight && attempt.backend.isSameAs(backend)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public boolean wouldMissSoftDeadline(long roundTripUs) {
        return roundTripUs > 0 && context.nowUs() + roundTripUs + methodStats.usualUs() > softDeadlineAtUs;
    }

    // ---- What is safe ----

    private Attempt firstThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (!attempt.neverRan) {
                return attempt;
            }
        }
        return null;
    }

    boolean isTooLate() {
        return methodStats.method().lateUtility() <= 0 && context.nowUs() > startByUs;
    }

    /** True where nobody would be served by another attempt any more. */
    boolean isPastUse() {
        return softDeadlineAtUs <= context.nowUs() && methodStats.method().lateUtility() <= 0;
    }

    /** A rejection tells the client that its retry is harmless: so only where it is. */
    boolean isClientRetryHarmless() {
        Method method = methodStats.method();
        return firstThatMayHaveRun() == null
                || method.retrySafety() == Method.RetrySafety.IDEMPOTENT
                || (method.retrySafety() == Method.RetrySafety.DEDUPLICATED
                        && method.deduplicationScope() == Method.DeduplicationScope.ALL);
    }

    /** Whether its method and the limit on attempts allow one more; a partner retries by itself, and counts each. */
    boolean mayRetry() {
        Settings settings = context.settings();
        return attempts.size() < settings.maxAttempts()
                && (firstThatMayHaveRun() == null
                        || (tier == OWN_TIER
                                && methodStats.method().retrySafety() != Method.RetrySafety.NON_IDEMPOTENT));
    }

    /**
     * The time by which a further attempt has to begin, however late its connection is: backends may run a deduplicated
     * request anew after it. Microseconds; the end of time where there is no such limit.
     */
    long retryByUs() {
        Attempt first = firstThatMayHaveRun();
        Method method = methodStats.method();
        boolean windowed = first != null && method.retrySafety() == Method.RetrySafety.DEDUPLICATED;
        return windowed
                ? first.sentAtUs
                        + method.deduplicationWindowUs()
                        - 2 * context.settings().tickUs()
                : Long.MAX_VALUE;
    }
}
