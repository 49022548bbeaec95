package hopdrum.policy.quota;

import hopdrum.host.Plan;
import hopdrum.host.QuotaLease;
import hopdrum.host.Settings;
import hopdrum.policy.context.PolicyContext;

/**
 * The leaky bucket of one customer at this gateway, with this gateway's share of its rate and burst: decides while the
 * counter is silent or calls are scarce. Starts from what is known of the customer, and is discarded once the counter
 * answers.
 */
final class FallbackBucket {
    private static final double FULL_AT_START = 0.75; // buckets that a gateway just started takes as full
    private static final double MOST_BURSTS_AT_ONCE = 6; // that all of a customer's gateways may hold at the start
    private static final double MOST_UNUSED = 0.6; // of the rate, by even shares where gateways are many
    private static final double MOST_WAIT_US = 1e12;

    private final PolicyContext context;
    private final Settings settings;
    private final CounterService counter;
    private final CreditEstimate credit;
    private final Plan plan;
    private final int firstGateway;
    private final int gateways;
    private double level = -1; // below 0: none
    private long levelAtUs;

    FallbackBucket(
            PolicyContext context,
            CounterService counter,
            CreditEstimate credit,
            Plan plan,
            int firstGateway,
            int gateways) {
        this.context = context;
        this.settings = context.settings();
        this.counter = counter;
        this.credit = credit;
        this.plan = plan;
        this.firstGateway = firstGateway;
        this.gateways = gateways;
    }

    boolean exists() {
        return level >= 0;
    }

    boolean isFull() {
        return levelFor(1) >= capacityFor(1);
    }

    void discard() {
        level = -1;
    }

    /** This gateway's part of what is split: in a fleet as settled, and nothing where that may not be acted on. */
    private double share() {
        QuotaLease lease = context.host().quotaLease();
        if (lease == null) {
            return 1.0 / gateways;
        }
        return context.nowUs() < lease.untilUs()
                ? 1.0 / lease.maxGatewaysSharing(firstGateway, gateways, settings.gatewayCount())
                : 0;
    }

    /** One request at least: a smaller share would admit none. */
    private double capacityFor(double units) {
        double share = share();
        return share > 0 ? Math.max(units, plan.burst() * share) : 0;
    }

    /** Its share of the rate, and of what the more gateways with less of the traffic leave unused. */
    private double rate() {
        double unused = context.host().quotaLease() != null ? 0 : MOST_UNUSED; // halves of a split keep the rate
        double gain = 1 + unused * Math.max(0, 1 - 4.0 / gateways);
        double most = plan.ceilingRate() > 0 ? plan.ceilingRate() / plan.rate() - 1 : gain;
        return Math.min(gain, most) * plan.rate() * share();
    }

    /** What it holds now, for a request of so many units; makes it if there is none. */
    double levelFor(double units) {
        double capacity = capacityFor(units);
        if (level < 0) {
            level = capacity * initialFraction();
            levelAtUs = context.nowUs();
        }
        return Math.min(capacity, level + rate() * (context.nowUs() - levelAtUs) / 1e6);
    }

    /** Full as the credit known, or full in a part of the cases; in fewer where no peer's reading would be told. */
    private double initialFraction() {
        double refilled = plan.rate() * (context.nowUs() - counter.startedAtUs) / 1e6 / plan.burst();
        if (credit.isKnown()) {
            return Math.max(0, Math.min(1, credit.remaining() / plan.burst()));
        }
        if (context.host().quotaLease() != null) {
            return Math.min(credit.capacity() / plan.burst(), refilled);
        }
        boolean readingsAreTold = settings.gossipAllowed() && counter.isAnswering();
        double part = readingsAreTold ? 1 : Math.min(1, MOST_BURSTS_AT_ONCE * plan.burst() / gateways);
        double full = Math.max(FULL_AT_START, refilled) * part;
        return context.nextRandom() < full ? 1 : 0;
    }

    /** Takes the units of a request, if it holds them. */
    boolean take(double units) {
        level = levelFor(units);
        levelAtUs = context.nowUs();
        if (level < units) {
            return false;
        }
        level -= units;
        return true;
    }

    /** How long until it holds so many units, in microseconds; to be asked after {@code take} has failed. */
    long waitUs(double units) {
        return (long) Math.min(MOST_WAIT_US, (units - level) / rate() * 1e6);
    }

    /** What it lacks to be full: all that may still be owed after an outage, since the rest has refilled. */
    double lacking() {
        return Math.max(0, capacityFor(0) - levelFor(0));
    }
}
