package hopdrum.policy.backends;

import hopdrum.host.Endpoint;
import hopdrum.host.Plan;
import hopdrum.host.ZoneLatencies;
import hopdrum.policy.context.PolicyContext;
import java.util.HashMap;
import java.util.Map;

/** One listed backend from one start to the next: its limits, its health and its recent answers. */
public final class Backend {
    private static final double THROUGHPUT_WINDOW_US = 3e6;
    private static final double SLOWNESS_WEIGHT = 0.12;
    private static final double MAX_SLOWNESS = 8;
    private static final double SLOWNESS_HALF_LIFE_S = 5;
    private static final double MAX_ERROR_RATE_IN_SCORE = 0.9;
    private static final long LOAD_REPORT_RETENTION_US = 1_000_000;
    // An answer in less than this many times the mean response time ends a probation.
    private static final double PROBATION_END_FACTOR = 3;

    private final PolicyContext context;
    private final Endpoint endpoint;
    private final ConcurrencyLimit limit;
    private final OutlierDetector outlierDetector = new OutlierDetector();
    private final SlowStart slowStart;
    // At most one entry per plan.
    private final Map<Plan, Long> avoidedUntilUs = new HashMap<>(2);
    private boolean ready;
    private int inFlight;
    // The work answered recently, in cores; decays over the throughput window.
    private double answeredCores;
    private long answeredCoresAtUs;
    // The backend's response times relative to the mean over all backends; 1 is the mean.
    private double slowness = 1;
    private long slownessAtUs;
    private long lastAnswerUs;
    // The queue length in the last load report.
    private double queueLength;
    private long queueLengthAtUs = PolicyContext.DISTANT_PAST_US;

    Backend(PolicyContext context, Endpoint endpoint) {
        this.context = context;
        this.endpoint = endpoint;
        this.limit = new ConcurrencyLimit(context.settings().gatewayCount());
        this.slowStart = new SlowStart(context, endpoint);
        this.slownessAtUs = context.nowUs();
        this.lastAnswerUs = context.nowUs();
    }

    /** Returns the entry of the backend in the endpoint list. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns true if the other object stands for the same backend, possibly before or after a restart. */
    public boolean isSameAs(Backend other) {
        return endpoint.backendId() == other.endpoint.backendId();
    }

    /**
     * Returns the microseconds by which the network round trip to the backend exceeds one within this gateway's site; 0
     * without a latency map. Response times are compared without it.
     */
    public long extraRoundTripUs() {
        ZoneLatencies latencies = context.host().zoneLatencies();
        return latencies == null ? 0 : latencies.extraRoundTripUs(endpoint.zone());
    }

    /** Returns true if the backend is listed as ready and is not ejected. */
    public boolean isUsable() {
        return ready && !outlierDetector.isEjected(context.nowUs());
    }

    boolean isReady() {
        return ready;
    }

    void setReady(boolean ready) {
        this.ready = ready;
    }

    int inFlight() {
        return inFlight;
    }

    SlowStart slowStart() {
        return slowStart;
    }

    OutlierDetector outlierDetector() {
        return outlierDetector;
    }

    boolean hasCapacity() {
        return isUsable() && inFlight < (outlierDetector.isOnProbation() ? 1 : limit.currentLimit());
    }

    /**
     * Returns the score of the backend, lower is better: its attempts in flight and queued, weighted by its slowness
     * and its error rate.
     */
    double score() {
        double idleS = (context.nowUs() - slownessAtUs) / 1e6;
        double currentSlowness = 1 + (slowness - 1) * Math.pow(0.5, idleS / SLOWNESS_HALF_LIFE_S);
        double queued = context.nowUs() - queueLengthAtUs < LOAD_REPORT_RETENTION_US ? queueLength / 2 : 0;
        return (inFlight + 1 + queued)
                * currentSlowness
                / Math.pow(1 - Math.min(MAX_ERROR_RATE_IN_SCORE, outlierDetector.errorRate()), 2);
    }

    /** Returns the work answered recently, in cores. */
    double answeredCores() {
        return answeredCores * Math.exp((answeredCoresAtUs - context.nowUs()) / THROUGHPUT_WINDOW_US);
    }

    boolean isAvoidedFor(Plan plan) {
        return context.nowUs() < avoidedUntilUs.getOrDefault(plan, PolicyContext.DISTANT_PAST_US);
    }

    void avoidFor(Plan plan, long untilUs) {
        avoidedUntilUs.put(plan, untilUs);
    }

    void attemptStarted(MethodStats stats) {
        inFlight++;
        slowStart.attemptStarted(stats.minMeanUs());
    }

    void attemptEnded() {
        inFlight--;
    }

    /** Returns true if the backend has answered nothing since a time in microseconds. */
    boolean isSilentSince(long sinceUs) {
        return lastAnswerUs < sinceUs;
    }

    void markAnswered() {
        lastAnswerUs = context.nowUs();
    }

    void attemptSucceeded(MethodStats stats, long tookUs) {
        markAnswered();
        answeredCores = answeredCores() + stats.minMeanUs() / THROUGHPUT_WINDOW_US;
        answeredCoresAtUs = context.nowUs();
        outlierDetector.recordSuccess(tookUs < PROBATION_END_FACTOR * stats.meanUs(), slowness);
        updateSlowness(stats, tookUs);
        limit.attemptAnswered((double) tookUs / stats.method().softDeadlineUs(), inFlight);
    }

    /**
     * Records an attempt whose answer is no longer awaited: like a late answer, it shows that the limit is too high.
     */
    void attemptLate() {
        limit.attemptLate();
    }

    /**
     * Records a failed attempt and lowers the limit, since fast failures look like free capacity. Returns true if the
     * backend should be ejected.
     */
    boolean attemptFailed() {
        limit.attemptFailed();
        return outlierDetector.recordError();
    }

    /** Updates the slowness with a response time, relative to the mean of its method over all backends. */
    void updateSlowness(MethodStats stats, long tookUs) {
        slowness += SLOWNESS_WEIGHT * (Math.min(MAX_SLOWNESS, tookUs / stats.meanUs()) - slowness);
        slownessAtUs = context.nowUs();
    }

    /** Ejects the backend; returns the end of the ejection in microseconds. */
    long eject() {
        limit.resetToMinimum();
        return outlierDetector.eject(context.nowUs());
    }

    void recordQueueLength(double length) {
        queueLength = length;
        queueLengthAtUs = context.nowUs();
    }
}
