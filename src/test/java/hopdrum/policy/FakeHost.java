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

/** The front door of the stories: a clock that the story moves, and a list of what the module asked for. */
final class FakeHost implements Host {
    static final float[] NO_REPORT = {};
    final List<String> asked = new ArrayList<>();
    final List<Long> names = new ArrayList<>();
    final List<Long> beginWithin = new ArrayList<>(); // of each attempt
    Method method =
            new Method(2_000_000, 7_500_000, Method.RetrySafety.IDEMPOTENT, Method.DeduplicationScope.ALL, 0, 0, false);
    Plan plan = new Plan(2, 4, 0, 0, 0, 0);
    int gateways = 2;
    int ordinal;
    boolean hedgingAllowed = true;
    long clockUs = 90_000_000;
    Policy policy;
    QuotaLease sharers; // null: no fleet
    ZoneLatencies distances; // null: no map
    CustomerOwner owner = CustomerOwner.THIS_TIER;
    long ownedForUs = Long.MAX_VALUE / 2;
    private long wakeUs = Long.MAX_VALUE;
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
            list(i, Endpoint.State.READY, 0);
        }
        pass(10_000);
        return this;
    }

    void list(long backend, Endpoint.State state, long startedAtUs) {
        policy.endpointsUpdated(
                0,
                Endpoint.UpdateKind.INCREMENTAL,
                List.of(new Endpoint(backend, 0, 0, (int) backend % 2, state, 1, startedAtUs)));
    }

    Request take() {
        return policy.requestReceived(++lastId, 0, 11, 0, 1, 0, 2, 7_500_000);
    }

    Request takeInQuota() {
        return takeCounted(2);
    }

    /** Takes an RPC and has the counter answer its call with a total that leaves this much room. */
    Request takeCounted(double room) {
        Request rpc = take();
        answer(room);
        return rpc;
    }

    void answer(double room) {
        policy.counterAnswered(lastName(), Outcome.OK, totalFor(room), 1_000);
    }

    long lastName() {
        return names.get(names.size() - 1);
    }

    double totalFor(double room) {
        long epochUs = (lastName() >>> 33) * 60_000_000;
        long customer = lastName() & (1L << 33) - 1;
        long sinceUs = clockUs + Long.remainderUnsigned(customer * 0x9E3779B97F4A7C15L, 60_000_000) - epochUs;
        return plan.burst() + plan.rate() * sinceUs / 1e6 - room;
    }

    void end(Request rpc, int attempt, Outcome outcome, long tookUs) {
        rpc.attemptEnded(attempt, outcome, tookUs, outcome == Outcome.OK, 0, NO_REPORT);
    }

    /** Lets time pass, with every wake-up that comes due. */
    void pass(long us) {
        long endUs = clockUs + us;
        while (wakeUs <= endUs) {
            clockUs = Math.max(clockUs, wakeUs);
            wakeUs = Long.MAX_VALUE;
            policy.wakeUp();
        }
        clockUs = endUs;
    }

    List<String> heard(String what) {
        return asked.stream().filter(a -> a.startsWith(what)).toList();
    }

    @Override
    public ZoneLatencies zoneLatencies() {
        return distances;
    }

    @Override
    public CustomerOwner customerOwner(long request, long customer) {
        return owner;
    }

    @Override
    public long ownershipAgeUs(long customer) {
        return ownedForUs;
    }

    @Override
    public QuotaLease quotaLease() {
        return sharers;
    }

    @Override
    public long nowUs() {
        return clockUs;
    }

    @Override
    public void startAttempt(long rpc, long backend, long timeOutUs, long beginWithinUs) {
        asked.add("attempt " + rpc + " to " + backend);
        beginWithin.add(beginWithinUs);
    }

    @Override
    public void cancelAttempt(long rpc, int attempt) {
        asked.add("cancel " + rpc + " " + attempt);
    }

    @Override
    public void reject(long rpc, long retryAfterUs) {
        asked.add("refuse " + rpc + " for " + retryAfterUs);
    }

    @Override
    public void abort(long rpc) {
        asked.add("abort " + rpc);
    }

    @Override
    public void addToCounter(long name, double units, long timeToLiveUs) {
        asked.add("add " + units);
        names.add(name);
    }

    @Override
    public void sendToPeer(int gateway, byte[] message) {
        asked.add("tell " + gateway);
    }

    @Override
    public void scheduleWakeUp(long delayUs) {
        wakeUs = Math.min(wakeUs, clockUs + delayUs);
    }

    @Override
    public void pollEndpointList() {
        asked.add("follow");
    }
}
