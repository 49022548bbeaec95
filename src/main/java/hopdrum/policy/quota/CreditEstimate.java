package hopdrum.policy.quota;

import hopdrum.host.Host;
import hopdrum.host.Plan;
import hopdrum.policy.context.PolicyContext;

/**
 * This gateway's estimate of a customer's remaining units: the last reading, less the units admitted since, plus the
 * refill.
 */
final class CreditEstimate {
    private final PolicyContext context;
    private final Host host;
    private final long customer;
    private final Plan plan;
    private double units = -1;
    private long atUs = PolicyContext.DISTANT_PAST_US;

    CreditEstimate(PolicyContext context, long customer, Plan plan) {
        this.context = context;
        this.host = context.host();
        this.customer = customer;
        this.plan = plan;
    }

    boolean isKnown() {
        return atUs != PolicyContext.DISTANT_PAST_US;
    }

    /** Returns the last reading less the units spent since, without the refill since. */
    double unitsWithoutRefill() {
        return units;
    }

    double remainingUnits() {
        return Math.min(maxUnits(), units + plan.rate() * (context.nowUs() - atUs) / 1e6);
    }

    void recordReading(double unitsRead) {
        units = unitsRead;
        atUs = context.nowUs();
    }

    void spendUnits(double spentUnits) {
        units -= spentUnits;
    }

    /**
     * Applies a peer's reading as an upper bound. A false reading can keep a customer out for the refill time of two
     * bursts.
     */
    void applyUpperBound(PeerReading reading) {
        double upperBound = Math.max(reading.remainingUnits(), -plan.burst());
        if (isKnown() && remainingUnits() <= upperBound) {
            return;
        }
        units = upperBound;
        atUs = reading.atUs();
    }

    /**
     * Returns the microseconds until the refill can have made room for the given units; 0 if there may be room now. The
     * last reading is an upper bound of the remaining units, so no call is needed until then.
     */
    long refillWaitUs(double neededUnits) {
        if (!isKnown() || plan.rate() <= 0) {
            return 0;
        }
        return Math.max(0, (long) ((neededUnits - remainingUnits()) / plan.rate() * 1e6));
    }

    /**
     * Returns the remaining units as this gateway remembers them. For a customer with a ceiling and an unknown past,
     * returns only the units that cannot exceed the ceiling.
     */
    double rememberedUnits() {
        if (isKnown()) {
            return remainingUnits();
        }
        double spareUnits = plan.ceilingBurst() - plan.burst() + plan.ceilingSlack();
        return plan.ceilingRate() > 0 ? Math.max(0, Math.min(maxUnits(), spareUnits)) : plan.burst();
    }

    /**
     * Returns the most units that can remain; for a customer with a ceiling, only those refilled since its shard came
     * to this tier.
     */
    double maxUnits() {
        double refilledUnits = plan.rate() * host.ownershipAgeUs(customer) / 1e6;
        return plan.ceilingRate() > 0 ? Math.min(plan.burst(), refilledUnits) : plan.burst();
    }
}
