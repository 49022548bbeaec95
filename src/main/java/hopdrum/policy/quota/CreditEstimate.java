package hopdrum.policy.quota;

import hopdrum.host.Host;
import hopdrum.host.Plan;
import hopdrum.policy.context.PolicyContext;

/** What this gateway knows of a customer's remaining units: as last read, less what it admitted since, and refilled. */
final class CreditEstimate {
    private final PolicyContext context;
    private final Host host;
    private final long customer;
    private final Plan plan;
    private double units = -1;
    private long atUs = PolicyContext.NEVER;

    CreditEstimate(PolicyContext context, long customer, Plan plan) {
        this.context = context;
        this.host = context.host();
        this.customer = customer;
        this.plan = plan;
    }

    boolean isKnown() {
        return atUs != PolicyContext.NEVER;
    }

    /** The units as last read, without the refill since. */
    double unitsAsRead() {
        return units;
    }

    double remaining() {
        return Math.min(capacity(), units + plan.rate() * (context.nowUs() - atUs) / 1e6);
    }

    void read(double remainingUnits) {
        units = remainingUnits;
        atUs = context.nowUs();
    }

    void spend(double spentUnits) {
        units -= spentUnits;
    }

    /** Takes a peer's reading as an upper bound. Harm from a false one: it keeps a customer out for two bursts' refill. */
    void limitTo(PeerReading reading) {
        double atMost = Math.max(reading.remainingUnits(), -plan.burst());
        if (isKnown() && remaining() <= atMost) {
            return;
        }
        units = atMost;
        atUs = reading.atUs();
    }

    /**
     * How long until the refill can have made room, in microseconds; 0 where there may be room. What was read bounds what
     * remains: until then no call is needed.
     */
    long refillWaitUs(double neededUnits) {
        if (!isKnown() || plan.rate() <= 0) {
            return 0;
        }
        return Math.max(0, (long) ((neededUnits - remaining()) / plan.rate() * 1e6));
    }

    /** What remains by this gateway's memory; a ceiling may not be staked on an unknown past. */
    double remembered() {
        if (isKnown()) {
            return remaining();
        }
        double spare = plan.ceilingBurst() - plan.burst() + plan.ceilingSlack();
        return plan.ceilingRate() > 0 ? Math.max(0, Math.min(capacity(), spare)) : plan.burst();
    }

    /** The most that can remain: under a ceiling, what has refilled since the customer's shard came to this tier. */
    double capacity() {
        double refilled = plan.rate() * host.ownershipAgeUs(customer) / 1e6;
        return plan.ceilingRate() > 0 ? Math.min(plan.burst(), refilled) : plan.burst();
    }
}
