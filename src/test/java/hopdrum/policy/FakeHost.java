package hopdrum.policy;

import hopdrum.host.CustomerOwner;
import hopdrum.host.Endpoint;
import hopdrum.host.Host;
import hopdrum.host.Method;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import hopdrum.host.QuotaLease;
import hopdrum.host.Settings;
import hopdrum.host.ZoneLatencies;
import java.util.ArrayList;
import java.util.List;

/** A host whose clock the test controls and which records the calls of the policy. */
final class FakeHost implements Host {
    static final float[] NO_REPORT = {};
    final List<String> calls = new ArrayList<>();
    final List<Long> counterNames = new ArrayList<>();
    // By attempt, in the order in which attempts were started.
    final List<Long> beginWithinUs = new ArrayList<>();
    Method method =
            new Method(2_000_000, 7_500_000, Method.RetrySafety.IDEMPOTENT, Method.DeduplicationScope.ALL, 0, 0, false);
    Plan plan = new Plan(2, 4, 0, 0, 0, 0);
    int gateways = 2;
    int ordinal;
    boolean hedgingAllowed = true;
    long clockUs = 90_000_000;
    Policy policy;
    // Null without a fleet.
    QuotaLease quotaLease;
    // Null without a latency map.
    ZoneLatencies zoneLatencies;
    CustomerOwner owner = CustomerOwner.THIS_TIER;
    long ownershipAgeUs = Long.MAX_VALUE / 2;
    private long wakeUpAtUs = Long.MAX_VALUE;
    private long lastId;

    FakeHost start(int backends) {
        policy = new Policy(
                new Settings(
                        gateways,
                        ordinal,
                        1_000,
                        List.of(method),
                        List.of(plan),
                        true,
                        50_000,
                        true,
                        false,
                        3,
                        true,
                        true,
                        1_000_000,
                        hedgingAllowed,
                        false,
                        false,
                        List.of("depth"),
                        0.2,
                        10_000_000,
                        2,
                        1_500_000),
                7,
                this);
        for (int i = 1; i <= backends; i++) {
            updateEndpoint(i, Endpoint.State.READY, 0);
        }
        advance(10_000);
        return this;
    }

    void updateEndpoint(long backend, Endpoint.State state, long startedAtUs) {
        policy.endpointsUpdated(
                0,
                Endpoint.UpdateKind.INCREMENTAL,
                List.of(new Endpoint(backend, 0, 0, (int) backend % 2, state, 1, startedAtUs)));
    }

    Request receive() {
        return policy.requestReceived(++lastId, 0, 11, 0, 1, 0, 2, 7_500_000);
    }

    Request receiveWithinQuota() {
        return receiveCounted(2);
    }

    /** Receives a request and answers its call on the counter with a total that leaves the given units. */
    Request receiveCounted(double remaining) {
        Request request = receive();
        answerCounter(remaining);
        return request;
    }

    void answerCounter(double remaining) {
        policy.counterAnswered(lastCounterName(), Outcome.OK, totalFor(remaining), 1_000);
    }

    long lastCounterName() {
        return counterNames.get(counterNames.size() - 1);
    }

    double totalFor(double remaining) {
        long epochUs = (lastCounterName() >>> 33) * 60_000_000;
        long customer = lastCounterName() & (1L << 33) - 1;
        long epochAgeUs = clockUs + Long.remainderUnsigned(customer * 0x9E3779B97F4A7C15L, 60_000_000) - epochUs;
        return plan.burst() + plan.rate() * epochAgeUs / 1e6 - remaining;
    }

    void endAttempt(Request request, int attempt, Outcome outcome, long tookUs) {
        request.attemptEnded(attempt, outcome, tookUs, outcome == Outcome.OK, 0, NO_REPORT);
    }

    /** Receives a request within quota and answers its first attempt after the given time. */
    void serve(long tookUs) {
        endAttempt(receiveWithinQuota(), 0, Outcome.OK, tookUs);
    }

    /** Advances the clock and runs every wake-up that becomes due. */
    void advance(long durationUs) {
        long endUs = clockUs + durationUs;
        while (wakeUpAtUs <= endUs) {
            clockUs = Math.max(clockUs, wakeUpAtUs);
            wakeUpAtUs = Long.MAX_VALUE;
            policy.wakeUp();
        }
        clockUs = endUs;
    }

    List<String> callsStartingWith(String prefix) {
        return calls.stream().filter(call -> call.startsWith(prefix)).toList();
    }

    @Override
    public ZoneLatencies zoneLatencies() {
        return zoneLatencies;
    }

    @Override
    public CustomerOwner customerOwner(long request, long customer) {
        return owner;
    }

    @Override
    public long ownershipAgeUs(long customer) {
        return ownershipAgeUs;
    }

    @Override
    public QuotaLease quotaLease() {
        return quotaLease;
    }

    @Override
    public long nowUs() {
        return clockUs;
    }

    @Override
    public void startAttempt(long request, long backend, long timeOutUs, long beginWithinUs) {
        calls.add("attempt " + request + " to " + backend);
        this.beginWithinUs.add(beginWithinUs);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        calls.add("cancel " + request + " " + attempt);
    }

    @Override
    public void reject(long request, long retryAfterUs) {
        calls.add("reject " + request + " for " + retryAfterUs);
    }

    @Override
    public void abort(long request) {
        calls.add("abort " + request);
    }

    @Override
    public void addToCounter(long name, double units, long timeToLiveUs) {
        calls.add("add " + units);
        counterNames.add(name);
    }

    @Override
    public void sendToPeer(int gateway, byte[] message) {
        calls.add("gossip " + gateway);
    }

    @Override
    public void scheduleWakeUp(long delayUs) {
        wakeUpAtUs = Math.min(wakeUpAtUs, clockUs + delayUs);
    }

    @Override
    public void pollEndpointList() {
        calls.add("poll");
    }
}
