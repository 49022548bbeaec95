package hopdrum.policy.quota;

import hopdrum.host.Plan;
import hopdrum.host.QuotaLease;
import hopdrum.host.Settings;
import hopdrum.policy.context.PolicyContext;

/**
 * The leaky bucket of one customer at this gateway, with this gateway's share of the customer's rate and burst. It
 * decides while the counter is silent or calls are scarce. The bucket starts from what is known of the customer and is
 * discarded once the counter answers.
 */
final class FallbackBucket {
    // The probability that a bucket starts full at a gateway that has just started.
    private static final double INITIAL_FULL_PROBABILITY = 0.75;
    // The most bursts that the buckets of all of a customer's gateways may hold together at the start.
    private static final double MAX_INITIAL_BURSTS = 6;
    // The most of the rate that even shares leave unused where gateways are many.
    private static final double MAX_UNUSED_FRACTION = 0.6;
    private static final double MAX_WAIT_US = 1e12;

    private final PolicyContext context;
    private final Settings settings;
    private final CounterService counter;
    private final CreditEstimate credit;
    private final Plan plan;
    private final int firstGateway;
    private final int gateways;
    // The units held; below 0 if there is no bucket.
    private double level = -1;
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

    /**
     * Returns this gateway's fraction of the quota; in a fleet by the agreed views, and 0 where the lease has ended.
     */
    private double shareFraction() {
        QuotaLease lease = context.host().quotaLease();
        if (lease == null) {
            return 1.0 / gateways;
        }
        return context.nowUs() < lease.untilUs()
                ? 1.0 / lease.maxGatewaysSharing(firstGateway, gateways, settings.gatewayCount())
                : 0;
    }

    /** Returns the capacity, at least one request: a smaller share would admit none. */
    private double capacityFor(double units) {
        double share = shareFraction();
        return share > 0 ? Math.max(units, plan.burst() * share) : 0;
    }

    /**
     * Returns the refill rate in units per second: this gateway's share of the rate, plus a part of what other gateways
     * leave unused if gateways are many and some have little traffic.
     */
    private double refillRate() {
        // Without a surplus in a fleet, the two sides of a network partition together keep to the rate.
        double unused = context.host().quotaLease() != null ? 0 : MAX_UNUSED_FRACTION;
        double gain = 1 + unused * Math.max(0, 1 - 4.0 / gateways);
        double maxGain = plan.ceilingRate() > 0 ? plan.ceilingRate() / plan.rate() - 1 : gain;
        return Math.min(gain, maxGain) * plan.rate() * shareFraction();
    }

    /** Returns the units held now, for a request of the given units; creates the bucket if there is none. */
    double levelFor(double units) {
        double capacity = capacityFor(units);
        if (level < 0) {
            level = capacity * initialFraction();
            levelAtUs = context.nowUs();
        }
        return Math.min(capacity, level + refillRate() * (context.nowUs() - levelAtUs) / 1e6);
    }

    /**
     * Returns the initial level as a fraction of the capacity: the known credit, or else full with a probability, which
     * is lower where no peer's reading would arrive.
     */
    private double initialFraction() {
        double refilled = plan.rate() * (context.nowUs() - counter.startedAtUs) / 1e6 / plan.burst();
        if (credit.isKnown()) {
            return Math.max(0, Math.min(1, credit.remainingUnits() / plan.burst()));
        }
        if (context.host().quotaLease() != null) {
            return Math.min(credit.maxUnits() / plan.burst(), refilled);
        }
        boolean readingsAreGossiped = settings.gossipAllowed() && counter.isAnswering();
        double fullFraction = readingsAreGossiped ? 1 : Math.min(1, MAX_INITIAL_BURSTS * plan.burst() / gateways);
        double fullProbability = Math.max(INITIAL_FULL_PROBABILITY, refilled) * fullFraction;
        return context.nextRandom() < fullProbability ? 1 : 0;
    }

    /** Takes the units of a request; returns false if the bucket does not hold them. */
    boolean takeUnits(double units) {
        level = levelFor(units);
        levelAtUs = context.nowUs();
        if (level < units) {
            return false;
        }
        level -= units;
        return true;
    }

    /** Returns the microseconds until the bucket holds the given units; called after {@link #takeUnits} has failed. */
    long waitUs(double units) {
        return (long) Math.min(MAX_WAIT_US, (units - level) / refillRate() * 1e6);
    }

    /**
     * Returns the units that the bucket lacks to be full. Only these may still be owed after an outage, since the rest
     * has refilled.
     */
    double missingUnits() {
        return Math.max(0, capacityFor(0) - levelFor(0));
    }
}
