package hopdrum.policy.backends;

import hopdrum.host.Endpoint;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import hopdrum.host.Settings;
import hopdrum.policy.context.PolicyContext;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The backends of one tier as this gateway knows them. Applies updates of the endpoint list and the outcome of each
 * attempt, and picks the backend of the next attempt.
 */
public final class BackendTier {
    /** A fraction of the soft deadline: a backend that rejects for lack of capacity does so sooner. */
    private static final double QUICK_REJECTION_FRACTION = 0.05;

    private static final double SCORE_NOISE = 0.02;
    private static final double LAST_RESORT_FACTOR = 1000;

    private final PolicyContext context;
    private final Settings settings;
    private final Runnable onCapacity;
    private final int queueLengthField;
    // A backend is removed by an update of the endpoint list.
    private final Map<Long, Backend> backends = new LinkedHashMap<>();
    private final GatewayConcurrencyLimit gatewayLimit = new GatewayConcurrencyLimit();

    /** Creates a tier without backends; {@code onCapacity} runs when an ejection has ended. */
    public BackendTier(PolicyContext context, Runnable onCapacity) {
        this.context = context;
        this.settings = context.settings();
        this.onCapacity = onCapacity;
        this.queueLengthField = settings.reportFields().indexOf("depth");
    }

    // ---- The endpoint list ----

    /**
     * Applies an update of the endpoint list; an update that is not incremental removes the backends that it does not
     * contain.
     */
    public void endpointsUpdated(Endpoint.UpdateKind kind, List<Endpoint> endpoints) {
        int backendsBefore = backends.size();
        if (kind != Endpoint.UpdateKind.INCREMENTAL) {
            backends.values().forEach(backend -> backend.setReady(false));
        }
        for (Endpoint endpoint : endpoints) {
            Backend backend = backends.computeIfAbsent(endpoint.backendId(), id -> new Backend(context, endpoint));
            if (backend.endpoint().startedAtUs() != endpoint.startedAtUs()) {
                backend = new Backend(context, endpoint);
                backends.put(endpoint.backendId(), backend);
            }
            backend.setReady(endpoint.state() == Endpoint.State.READY);
        }
        backends.values().removeIf(backend -> !backend.isReady());
        gatewayLimit.resize(backendsBefore, backends.size(), settings.gatewayCount());
    }

    // ---- The choice of a backend ----

    /** Returns true if this gateway may have another attempt in flight, over all backends. */
    public boolean hasCapacity() {
        return gatewayLimit.allows(inFlight());
    }

    /** Returns true if backends are listed and none of them may run the next attempt of the request. */
    public boolean isBarredEverywhere(RoutableRequest request) {
        return !backends.isEmpty() && backends.values().stream().noneMatch(request::mayRunOn);
    }

    /** Returns the best backend for the next attempt of the request; null if none can take the attempt now. */
    public Backend pick(RoutableRequest request) {
        MethodStats stats = request.methodStats();
        Backend best = null;
        double bestScore = Double.MAX_VALUE;
        for (Backend backend : backends.values()) {
            if (!request.mayRunOn(backend) || request.isInFlightAt(backend) || !mayTake(backend, stats)) {
                continue;
            }
            boolean lastResort = request.hasTried(backend) || backend.isAvoidedFor(request.plan());
            long extraRoundTripUs = backend.extraRoundTripUs();
            double score = backend.score() * (1 + SCORE_NOISE * context.nextRandom());
            // Prefers near backends, and farther ones as the queues of the near ones grow.
            score += extraRoundTripUs / stats.minMeanUs();
            score *= lastResort || request.wouldMissSoftDeadline(extraRoundTripUs) ? LAST_RESORT_FACTOR : 1;
            if (score < bestScore) {
                bestScore = score;
                best = backend;
            }
        }
        return best;
    }

    private boolean mayTake(Backend backend, MethodStats stats) {
        if (!backend.hasCapacity()) {
            return false;
        }
        SlowStart slowStart = backend.slowStart();
        if (!slowStart.isActive()) {
            slowStart.forgetAttempts();
            return true;
        }
        return slowStart.allowsAttempt(stats.minMeanUs(), warmBackendCores(backend));
    }

    /**
     * Returns the work, in cores, that a warm backend of the same size is seen to take from all gateways; at least one
     * core.
     */
    private double warmBackendCores(Backend cold) {
        double cores = 0;
        double size = 0;
        for (Backend backend : backends.values()) {
            if (backend.isUsable() && !backend.slowStart().isActive()) {
                cores += backend.answeredCores();
                size += sizeOf(backend);
            }
        }
        return size <= 0 ? 1 : Math.max(1, cores / size * sizeOf(cold) * settings.gatewayCount());
    }

    private double sizeOf(Backend backend) {
        return settings.weightIsCapacity() ? backend.endpoint().weight() : 1;
    }

    /**
     * Returns the attempts in flight over all usable backends. They are limited together because in a tier of many
     * gateways each has far less than one attempt in flight per backend.
     */
    private int inFlight() {
        int sum = 0;
        for (Backend backend : backends.values()) {
            sum += backend.isUsable() ? backend.inFlight() : 0;
        }
        return sum;
    }

    // ---- Outcomes of attempts ----

    /** Records that an attempt was sent to a backend of this tier. */
    public void attemptStarted(Backend backend, MethodStats stats) {
        backend.attemptStarted(stats);
    }

    /**
     * Records the end of an attempt.
     *
     * @param tookUs the duration of the attempt in microseconds, without the network round trip
     * @param report the backend's load report, with the fields that the settings name; empty if there is none
     */
    public void attemptEnded(
            Backend backend, MethodStats stats, Plan plan, Outcome outcome, long tookUs, float[] report) {
        backend.attemptEnded();
        if (queueLengthField >= 0 && queueLengthField < report.length) {
            backend.recordQueueLength(report[queueLengthField]);
        }
        switch (outcome) {
            case OK -> {
                stats.recordResponseTime(tookUs);
                backend.attemptSucceeded(stats, tookUs);
                adjustGatewayLimit((double) tookUs / stats.method().softDeadlineUs());
            }
            case AT_CAPACITY -> attemptRejected(backend, stats, plan, tookUs);
            case ERROR -> {
                backend.markAnswered();
                attemptFailed(backend);
            }
            case CONNECT_FAILED, RESET -> attemptFailed(backend);
            case TIMED_OUT -> attemptTookTooLong(backend, stats, tookUs);
            default -> {
                // The outcome tells nothing about the backend.
            }
        }
    }

    /** Records an attempt that was given up on, or whose answer came too late, after the given microseconds. */
    public void attemptTookTooLong(Backend backend, MethodStats stats, long tookUs) {
        backend.attemptLate();
        if (tookUs > stats.meanUs()) {
            adjustGatewayLimit(1);
            stats.recordResponseTime(tookUs);
            backend.updateSlowness(stats, tookUs);
        }
    }

    /**
     * Records that an attempt sent at the given time is overdue. This makes the backend suspect if it has answered
     * nothing since.
     */
    public void attemptOverdue(Backend backend, long sentAtUs) {
        if (backend.isSilentSince(sentAtUs) && backend.outlierDetector().recordSuspicion()) {
            eject(backend);
        }
    }

    /**
     * Handles a rejection for lack of capacity. A quick rejection counts as a failure, since a backend that is full
     * says so at once. A slow one shows that the backend rejects one plan although it has capacity, so only that plan
     * avoids the backend. The drawback is that a backend which is full and slow to say so keeps its limit.
     */
    private void attemptRejected(Backend backend, MethodStats stats, Plan plan, long tookUs) {
        backend.markAnswered();
        if (tookUs < QUICK_REJECTION_FRACTION * stats.method().softDeadlineUs()) {
            attemptFailed(backend);
        } else {
            backend.avoidFor(plan, context.nowUs() + OutlierDetector.MAX_EJECTION_US);
        }
    }

    private void attemptFailed(Backend backend) {
        if (backend.attemptFailed()) {
            eject(backend);
        }
    }

    /** Ejects a backend, if at least half of the listed backends stay usable. */
    private void eject(Backend backend) {
        long unusable =
                backends.values().stream().filter(other -> !other.isUsable()).count();
        if (backend.isUsable() && (unusable + 1) * 2 <= backends.size()) {
            context.schedule(backend.eject(), onCapacity);
        }
    }

    private void adjustGatewayLimit(double fractionOfSoftDeadline) {
        if (GatewayConcurrencyLimit.mayChangeLimit(fractionOfSoftDeadline)) {
            gatewayLimit.attemptAnswered(fractionOfSoftDeadline, inFlight(), backends.size());
        }
    }
}
