package hopdrum.policy;

import hopdrum.host.Method;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import hopdrum.host.Settings;
import hopdrum.policy.backends.Backend;
import hopdrum.policy.backends.MethodStats;
import hopdrum.policy.backends.RoutableRequest;
import hopdrum.policy.context.PolicyContext;
import hopdrum.policy.context.Timer;
import hopdrum.policy.quota.CustomerQuota;
import hopdrum.policy.quota.QuotaRequest;
import java.util.ArrayList;
import java.util.List;

/** The state of one request, and the rules that say which further attempts and which final answer are safe for it. */
final class TrackedRequest implements Request, RoutableRequest, QuotaRequest {
    /** The number of the tier of this gateway's own backends; other tiers are those of partners. */
    static final int OWN_TIER = 0;

    /** The stages of a request, in the order in which a request passes through them. */
    enum Stage {
        NEW,
        AWAITING_COUNTER,
        QUEUED,
        FORWARDED,
        DONE
    }

    /** Receives the events of a request. */
    interface Listener {
        /**
         * The request may take its next step: in stage NEW it needs admission, in stage QUEUED it waits for a backend.
         */
        void nextStageReady(TrackedRequest request);

        /**
         * The request is beyond its customer's quota.
         *
         * @param retryAfterUs microseconds after which the client should retry
         */
        void admissionRejected(TrackedRequest request, long retryAfterUs);

        /** An attempt that was in flight has ended; the parameters are those of {@link Request#attemptEnded}. */
        void attemptEnded(
                TrackedRequest request,
                Attempt attempt,
                Outcome outcome,
                long tookUs,
                boolean clientAnswered,
                int settledUnits,
                float[] report);

        /** The client has left before the final answer of its request. */
        void clientLeft(TrackedRequest request);
    }

    final long id;
    // The number of the request in the order of arrival.
    final long arrivalNumber;
    final CustomerQuota customer;
    final long softDeadlineAtUs;
    // A request that starts later is not likely to meet its soft deadline.
    final long latestStartAtUs;
    final long giveUpAtUs;
    final List<Attempt> attempts = new ArrayList<>(1);
    int attemptsInFlight;
    // The number of the tier whose backends may run the request; -1 before the request is admitted.
    int tier = -1;
    Stage stage = Stage.NEW;
    boolean streaming;
    // Cancelled when the request is done.
    Timer giveUpTimer;
    // Cancelled when the first attempt starts or the request is done; null before the request is queued.
    Timer latestStartTimer;
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
            long arrivalNumber,
            MethodStats methodStats,
            CustomerQuota customer,
            double units,
            long remainingUs) {
        this.context = context;
        this.listener = listener;
        this.id = id;
        this.arrivalNumber = arrivalNumber;
        this.methodStats = methodStats;
        this.customer = customer;
        this.units = units;
        Method method = methodStats.method();
        long marginUs = 2 * context.settings().clockGranularityUs() + 1_000;
        long nowUs = context.nowUs();
        long deadlineAtUs = nowUs + remainingUs;
        this.softDeadlineAtUs =
                Math.min(deadlineAtUs, nowUs + method.softDeadlineUs() - methodStats.clientElapsedUs(remainingUs));
        this.latestStartAtUs = softDeadlineAtUs - methodStats.typicalResponseTimeUs();
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
        attempt.overdueTimer.cancel();
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

    /** Cancels the timers that wait for the request's times, which may be far off. */
    void cancelTimers() {
        giveUpTimer.cancel();
        cancelLatestStartTimer();
    }

    void cancelLatestStartTimer() {
        if (latestStartTimer != null) {
            latestStartTimer.cancel();
        }
    }

    /** Returns true once the request has its final answer or its client has left. */
    boolean isDone() {
        return stage == Stage.DONE;
    }

    // ---- QuotaRequest ----

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
        listener.nextStageReady(this);
    }

    @Override
    public void reject(long retryAfterUs) {
        listener.admissionRejected(this, retryAfterUs);
    }

    @Override
    public void retryAdmission() {
        listener.nextStageReady(this);
    }

    // ---- RoutableRequest ----

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
        Attempt first = firstAttemptThatMayHaveRun();
        Method method = methodStats.method();
        if (first == null || method.retrySafety() == Method.RetrySafety.IDEMPOTENT) {
            return true;
        }
        return method.retrySafety() == Method.RetrySafety.DEDUPLICATED
                && context.nowUs() < retryDeadlineAtUs()
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
    public boolean wouldMissSoftDeadline(long extraRoundTripUs) {
        return extraRoundTripUs > 0
                && context.nowUs() + extraRoundTripUs + methodStats.typicalResponseTimeUs() > softDeadlineAtUs;
    }

    // ---- Safety of further attempts and answers ----

    private Attempt firstAttemptThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (!attempt.neverRan) {
                return attempt;
            }
        }
        return null;
    }

    boolean isTooLateToStart() {
        return methodStats.method().lateUtility() <= 0 && context.nowUs() > latestStartAtUs;
    }

    /** Returns true if an answer would come too late to have any utility. */
    boolean isAnswerWorthless() {
        return softDeadlineAtUs <= context.nowUs() && methodStats.method().lateUtility() <= 0;
    }

    /**
     * Returns true if a retry by the client is harmless. A rejection tells the client so, hence the request may be
     * rejected only in this case.
     */
    boolean isClientRetryHarmless() {
        Method method = methodStats.method();
        return firstAttemptThatMayHaveRun() == null
                || method.retrySafety() == Method.RetrySafety.IDEMPOTENT
                || (method.retrySafety() == Method.RetrySafety.DEDUPLICATED
                        && method.deduplicationScope() == Method.DeduplicationScope.ALL);
    }

    /**
     * Returns true if the method and the limit on attempts allow another attempt. After an attempt that may have run at
     * a partner there is none: the partner retries by itself and counts each request.
     */
    boolean mayRetry() {
        Settings settings = context.settings();
        return attempts.size() < settings.maxAttempts()
                && (firstAttemptThatMayHaveRun() == null
                        || (tier == OWN_TIER
                                && methodStats.method().retrySafety() != Method.RetrySafety.NON_IDEMPOTENT));
    }

    /**
     * Returns the time by which a further attempt has to begin, however late its connection is established, in
     * microseconds of the host's clock: after it, backends may run a deduplicated request again. {@link Long#MAX_VALUE}
     * if there is no such limit.
     */
    long retryDeadlineAtUs() {
        Attempt first = firstAttemptThatMayHaveRun();
        Method method = methodStats.method();
        boolean windowed = first != null && method.retrySafety() == Method.RetrySafety.DEDUPLICATED;
        return windowed
                ? first.sentAtUs
                        + method.deduplicationWindowUs()
                        - 2 * context.settings().clockGranularityUs()
                : Long.MAX_VALUE;
    }
}
