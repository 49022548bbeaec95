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
 * The backends of one tier as this gateway knows them: takes in the endpoint list and the outcome of each attempt, and
 * picks the backend of the next.
 */
public final class BackendTier {
    /** A fraction of the soft deadline: a backend that is full says so sooner. */
    private static final double QUICK_REJECTION = 0.05;

    private static final double SCORE_NOISE = 0.02;
    private static final double LAST_RESORT_FACTOR = 1000;

    private final PolicyContext context;
    private final Settings settings;
    private final Runnable onCapacity;
    private final int queueLengthField;
    private final Map<Long, Backend> backends = new LinkedHashMap<>(); // emptied by updates of the endpoint list
    private final GatewayConcurrencyLimit gatewayLimit = new GatewayConcurrencyLimit();

    /** A tier without backends; {@code onCapacity} runs when an ejection has ended. */
    public BackendTier(PolicyContext context, Runnable onCapacity) {
        this.context = context;
        this.settings = context.settings();
        this.onCapacity = onCapacity;
        this.queueLengthField = settings.reportFields().indexOf("depth");
    }

    // ---- The endpoint list ----

    /** Takes in an update; one that is not incremental drops the backends that it does not hold. */
    public void endpointsUpdated(Endpoint.UpdateKind kind, List<Endpoint> endpoints) {
        int before = backends.size();
        if (kind != Endpoint.UpdateKind.INCREMENTAL) {
            backends.values().forEach(backend -> backend.setReady(false));
        }
        for (Endpoint endpoint : endpoints) {
            Backend backend = backends.computeIfAbsent(endpoint.backend(), id -> new Backend(context, endpoint));
            if (backend.endpoint().startedAtUs() != endpoint.startedAtUs()) {
                backend = new Backend(context, endpoint);
                backends.put(endpoint.backend(), backend);
            }
            backend.setReady(endpoint.state() == Endpoint.State.READY);
        }
        backends.values().removeIf(backend -> !backend.isReady());
        gatewayLimit.resize(before, backends.size(), settings.gatewayCount());
    }

    // ---- The pick ----

    /** Whether this gateway may have one attempt more in flight, over all backends. */
    public boolean hasCapacity() {
        return gatewayLimit.allows(inFlight());
    }

    /** True if backends are listed and none of them may run the request's next attempt. */
    public boolean isBarredEverywhere(RoutableRequest request) {
        return !backends.isEmpty() && backends.values().stream().noneMatch(request::mayRunOn);
    }

    /** The best backend for the request's next attempt, or null if none can take it now. */
    public Backend pick(RoutableRequest request) {
        MethodStats stats = request.methodStats();
        Backend best = null;
        double bestScore = Double.MAX_VALUE;
        for (Backend backend : backends.values()) {
            if (!request.mayRunOn(backend) || request.isInFlightAt(backend) || !mayTake(backend, stats)) {
                continue;
            }
            boolean lastResort = request.hasTried(backend) || backend.isAvoidedFor(request.plan());
            long roundTripUs = backend.roundTripUs();
            double score = backend.score() * (1 + SCORE_NOISE * context.nextRandom());
            score += roundTripUs / stats.leastMeanUs(); // near ones first, farther ones as the queue there grows
            score *= lastResort || request.wouldMissSoftDeadline(roundTripUs) ? LAST_RESORT_FACTOR : 1;
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
            slowStart.clear();
            return true;
        }
        return slowStart.allows(stats.leastMeanUs(), warmCores(backend));
    }

    /** Cores' worth of work that a warm backend of this one's size is seen to take; never under one core. */
    private double warmCores(Backend cold) {
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

    /** Limited over all backends: of many gateways each has far less than one attempt a backend in flight. */
    private int inFlight() {
        int sum = 0;
        for (Backend backend : backends.values()) {
            sum += backend.isUsable() ? backend.inFlight() : 0;
        }
        return sum;
    }

    // ---- What becomes of attempts ----

    /** An attempt is on its way to a backend of this tier. */
    public void attemptStarted(Backend backend, MethodStats stats) {
        backend.attemptStarted(stats);
    }

    /**
     * An attempt has ended.
     *
     * @param tookUs microseconds that it took, without the network round trip
     * @param report the backend's load report, by the settings' fields; empty without one
     */
    public void attemptEnded(
            Backend backend, MethodStats stats, Plan plan, Outcome outcome, long tookUs, float[] report) {
        backend.attemptEnded();
        if (queueLengthField >= 0 && queueLengthField < report.length) {
            backend.reportedQueueLength(report[queueLengthField]);
        }
        switch (outcome) {
            case OK -> {
                stats.learn(tookUs);
                backend.succeeded(stats, tookUs);
                adjustGatewayLimit((double) tookUs / stats.method().softDeadlineUs());
            }
            case AT_CAPACITY -> rejected(backend, stats, plan, tookUs);
            case ERROR -> {
                backend.markAnswered();
                failed(backend);
            }
            case CONNECT_FAILED, RESET -> failed(backend);
            case TIMED_OUT -> tookTooLong(backend, stats, tookUs);
            default -> {
                // says nothing of the backend
            }
        }
    }

    /** An attempt is given up on, or its answer came too late, after so many microseconds. */
    public void tookTooLong(Backend backend, MethodStats stats, long tookUs) {
        backend.late();
        if (tookUs > stats.meanUs()) {
            adjustGatewayLimit(1);
            stats.learn(tookUs);
            backend.compare(stats, tookUs);
        }
    }

    /** An attempt sent at this time is past its patience: suspicious where nothing was answered since. */
    public void attemptOverdue(Backend backend, long sentAtUs) {
        if (backend.isSilentSince(sentAtUs) && backend.outlierDetector().recordSuspicion()) {
            eject(backend);
        }
    }

    /**
     * Guards against a backend that rejects one plan though it has capacity: one that is full says so at once. Harm: a
     * backend that is full and slow to say so keeps its limit.
     */
    private void rejected(Backend backend, MethodStats stats, Plan plan, long tookUs) {
        backend.markAnswered();
        if (tookUs < QUICK_REJECTION * stats.method().softDeadlineUs()) {
            failed(backend);
        } else {
            backend.avoidFor(plan, context.nowUs() + OutlierDetector.LONGEST_EJECTION_US);
        }
    }

    private void failed(Backend backend) {
        if (backend.failed()) {
            eject(backend);
        }
    }

    /** Never ejects all: at least half of the ready ones stay. */
    private void eject(Backend backend) {
        long unusable =
                backends.values().stream().filter(other -> !other.isUsable()).count();
        if (backend.isUsable() && (unusable + 1) * 2 <= backends.size()) {
            context.schedule(backend.eject(), onCapacity);
        }
    }

    private void adjustGatewayLimit(double fractionOfSoftDeadline) {
        if (GatewayConcurrencyLimit.isSignal(fractionOfSoftDeadline)) {
            gatewayLimit.answered(fractionOfSoftDeadline, inFlight(), backends.size());
        }
    }
}
