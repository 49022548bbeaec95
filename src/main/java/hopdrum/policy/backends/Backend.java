package hopdrum.policy.backends;

import hopdrum.host.Endpoint;
import hopdrum.host.Plan;
import hopdrum.host.ZoneLatencies;
import hopdrum.policy.context.PolicyContext;
import java.util.HashMap;
import java.util.Map;

/** One listed backend, from one start of it to the next: its limits, its health and what it has answered of late. */
public final class Backend {
    private static final double THROUGHPUT_WINDOW_US = 3e6;
    private static final double SLOWNESS_WEIGHT = 0.12;
    private static final double MOST_SLOWNESS = 8;
    private static final double SLOWNESS_HALF_LIFE_S = 5;
    private static final double MOST_ERRORS_IN_SCORE = 0.9;
    private static final long LOAD_REPORT_KEPT_US = 1_000_000;
    private static final double PROBATION_ENDS_BELOW = 3; // times the mean

    private final PolicyContext context;
    private final Endpoint endpoint;
    private final ConcurrencyLimit limit;
    private final OutlierDetector outlierDetector = new OutlierDetector();
    private final SlowStart slowStart;
    private final Map<Plan, Long> avoidedUntilUs = new HashMap<>(2); // an entry a plan
    private boolean ready;
    private int inFlight;
    private double answeredCores; // work answered here of late
    private long answeredCoresAtUs;
    private double slowness = 1; // its response times against its peers'
    private long slownessAtUs;
    private long lastAnswerUs;
    private double queueLength; // as last reported
    private long queueLengthAtUs = PolicyContext.NEVER;

    Backend(PolicyContext context, Endpoint endpoint) {
        this.context = context;
        this.endpoint = endpoint;
        this.limit = new ConcurrencyLimit(context.settings().gatewayCount());
        this.slowStart = new SlowStart(context, endpoint);
        this.slownessAtUs = context.nowUs();
        this.lastAnswerUs = context.nowUs();
    }

    /** Its entry in the endpoint list. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** True of the same backend, which may have restarted between. */
    public boolean isSameAs(Backend other) {
        return endpoint.backend() == other.endpoint.backend();
    }

    /** The network round trip to it in microseconds; 0 without a map. Its response times are judged without it. */
    public long roundTripUs() {
        ZoneLatencies latencies = context.host().zoneLatencies();
        return latencies == null ? 0 : latencies.roundTripUs(endpoint.zone());
    }

    /** True unless it left the list of ready backends or is ejected. */
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
        return isUsable() && inFlight < (outlierDetector.isOnProbation() ? 1 : limit.current());
    }

    /** Lower is better: what is in flight and queued, weighed by how slow and how faulty it is. */
    double score() {
        double idleS = (context.nowUs() - slownessAtUs) / 1e6;
        double slow = 1 + (slowness - 1) * Math.pow(0.5, idleS / SLOWNESS_HALF_LIFE_S);
        double queued = context.nowUs() - queueLengthAtUs < LOAD_REPORT_KEPT_US ? queueLength / 2 : 0;
        return (inFlight + 1 + queued)
                * slow
                / Math.pow(1 - Math.min(MOST_ERRORS_IN_SCORE, outlierDetector.errorRate()), 2);
    }

    /** Work answered of late, in cores. */
    double answeredCores() {
        return answeredCores * Math.exp((answeredCoresAtUs - context.nowUs()) / THROUGHPUT_WINDOW_US);
    }

    boolean isAvoidedFor(Plan plan) {
        return context.nowUs() < avoidedUntilUs.getOrDefault(plan, PolicyContext.NEVER);
    }

    void avoidFor(Plan plan, long untilUs) {
        avoidedUntilUs.put(plan, untilUs);
    }

    void attemptStarted(MethodStats stats) {
        inFlight++;
        slowStart.attemptStarted(stats.leastMeanUs());
    }

    void attemptEnded() {
        inFlight--;
    }

    /** True if it has answered nothing since a time in microseconds. */
    boolean isSilentSince(long sinceUs) {
        return lastAnswerUs < sinceUs;
    }

    void markAnswered() {
        lastAnswerUs = context.nowUs();
    }

    void succeeded(MethodStats stats, long tookUs) {
        markAnswered();
        answeredCores = answeredCores() + stats.leastMeanUs() / THROUGHPUT_WINDOW_US;
        answeredCoresAtUs = context.nowUs();
        outlierDetector.recordSuccess(tookUs < PROBATION_ENDS_BELOW * stats.meanUs(), slowness);
        compare(stats, tookUs);
        limit.answered((double) tookUs / stats.method().softDeadlineUs(), inFlight);
    }

    /** An answer that nobody could wait for shows as much as a late one: the limit is too high. */
    void late() {
        limit.late();
    }

    /** Fast failures look like free capacity: errors lower the limit. True if it should be ejected. */
    boolean failed() {
        limit.failed();
        return outlierDetector.recordError();
    }

    /** Takes a response time against the mean of its method over all backends. */
    void compare(MethodStats stats, long tookUs) {
        slowness += SLOWNESS_WEIGHT * (Math.min(MOST_SLOWNESS, tookUs / stats.meanUs()) - slowness);
        slownessAtUs = context.nowUs();
    }

    /** Ejects it; returns until when, in microseconds. */
    long eject() {
        limit.reset();
        return outlierDetector.eject(context.nowUs());
    }

    void reportedQueueLength(double length) {
        queueLength = length;
        queueLengthAtUs = context.nowUs();
    }
}
