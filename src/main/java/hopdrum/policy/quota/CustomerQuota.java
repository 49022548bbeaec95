package hopdrum.policy.quota;

import hopdrum.host.CreditGossip;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import hopdrum.host.Settings;
import hopdrum.policy.context.PolicyContext;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The quota of one customer at this gateway: its calls on the counter, the requests that wait for them, and the units
 * owed to the counter.
 */
public final class CustomerQuota {
    private static final long MIN_IDLE_RETENTION_US = 5_000_000;
    // Excess units up to this fraction of the burst are left untrimmed, to save calls.
    private static final double UNTRIMMED_BURST_FRACTION = 0.25;
    // A total that differs by less from a call's own units contains that call alone.
    private static final double OWN_UNITS_TOLERANCE = 1e-3;
    // If the remaining units fall short by this fraction of the trimmed excess, another gateway has trimmed it too.
    private static final double REPEATED_TRIM_FRACTION = 0.9;

    private final PolicyContext context;
    private final Settings settings;
    private final CounterService counter;
    private final long customer;
    private final Plan plan;
    // The customer is served by the next field's number of consecutive gateways, of which this is the first.
    private final int firstGateway;
    private final int gateways;
    private final CreditEstimate credit;
    private final FallbackBucket bucket;
    // Each call is removed by its answer.
    private final Deque<CounterCall> calls = new ArrayDeque<>(2);
    // Emptied when a call is settled.
    private final Deque<QuotaRequest> waitingRequests = new ArrayDeque<>(1);
    // Units that were admitted and are not in the count yet; negative if the count is too high.
    private double owedUnits;
    // The time until which the trimming call of a new name's creator is awaited.
    private long awaitCreatorUntilUs = PolicyContext.DISTANT_PAST_US;
    private long nextRetryAtUs = PolicyContext.DISTANT_PAST_US;
    private long lastUsedUs;
    private int openRequests;
    private int pendingRequests; // received and not closed, whether they are open or not

    CustomerQuota(
            PolicyContext context, CounterService counter, long customer, Plan plan, int firstGateway, int gateways) {
        this.context = context;
        this.settings = context.settings();
        this.counter = counter;
        this.customer = customer;
        this.plan = plan;
        this.firstGateway = firstGateway;
        this.gateways = Math.max(1, Math.min(gateways, settings.gatewayCount()));
        this.credit = new CreditEstimate(context, customer, plan);
        this.bucket = new FallbackBucket(context, counter, credit, plan, firstGateway, this.gateways);
    }

    /** Returns the customer's key. */
    public long customer() {
        return customer;
    }

    /** Returns the customer's plan. */
    public Plan plan() {
        return plan;
    }

    /** Records that a request of the customer has arrived, which keeps this quota in memory for a while. */
    public void markUsed() {
        lastUsedUs = context.nowUs();
    }

    /** Records that a request of the customer has been received; {@link #requestClosed} follows once. */
    public void requestReceived() {
        pendingRequests++;
    }

    /** Whether nothing is lost but readings, which the next call on the counter gives again. */
    boolean canBeForgotten() {
        return pendingRequests == 0
                && calls.isEmpty()
                && openRequests == 0
                && Math.abs(owedUnits) < OWN_UNITS_TOLERANCE
                && (!bucket.exists() || bucket.isFull());
    }

    boolean isIdle() {
        double refillUs = plan.rate() > 0 ? plan.burst() / plan.rate() * 1e6 : 0;
        return calls.isEmpty()
                && openRequests == 0
                && context.nowUs() - lastUsedUs > Math.max(MIN_IDLE_RETENTION_US, 2 * refillUs)
                && (!bucket.exists() || bucket.isFull());
    }

    // ---- Admission ----

    /** Returns true if this gateway's share of the plan's limit on open requests is used up. */
    public boolean isAtConcurrencyLimit() {
        return plan.concurrencyLimit() > 0 && openRequests >= Math.ceil((double) plan.concurrencyLimit() / gateways);
    }

    /**
     * Returns the microseconds for which the customer is certainly beyond its quota for the given units; 0 if it may be
     * within.
     */
    public long refillWaitUs(double units) {
        return credit.refillWaitUs(units);
    }

    /**
     * Returns true if this gateway's share of the burst is less than one request. This gateway alone then has almost no
     * information about the customer's use.
     */
    public boolean isShareBelowOneRequest() {
        return plan.burst() < gateways;
    }

    /** Returns true if the customer's leaky bucket at this gateway holds the given units. */
    public boolean bucketHolds(double units) {
        return bucket.levelFor(units) >= units;
    }

    /**
     * Returns true if a request must wait for the answer to an outstanding call. This protects the counter against a
     * customer whose requests come all at once (traffic beyond its quota, clients that return together): the
     * outstanding calls ask for no more than the known credit, except that one call may always be made.
     */
    public boolean mustAwaitVerdict(QuotaRequest request) {
        if (!credit.isKnown()) {
            return false;
        }
        double askedUnits = 0;
        for (CounterCall call : calls) {
            askedUnits += call.isAwaitedByRequest() ? call.request.units() : 0;
        }
        return askedUnits > 0 && askedUnits + request.units() > credit.remainingUnits();
    }

    /** Queues a request until an outstanding call is answered. */
    public void awaitVerdict(QuotaRequest request) {
        waitingRequests.add(request);
    }

    /**
     * Returns the microseconds after which a rejected client should retry: the clients of a customer are told to return
     * at the pace of the refill.
     *
     * @param waitUs the microseconds until there may be room for the request
     * @param units the units of the request
     */
    public long retryAfterUs(long waitUs, double units) {
        long soonestUs = Math.max(context.nowUs() + waitUs, nextRetryAtUs);
        nextRetryAtUs = plan.rate() > 0 ? soonestUs + (long) (units / plan.rate() * 1e6) : soonestUs;
        // A time beyond the longest that may be named: spreads the clients over the upper half of that longest time.
        if (soonestUs > context.nowUs() + settings.maxRetryAfterUs()) {
            nextRetryAtUs = soonestUs;
            return (long) (settings.maxRetryAfterUs() * (0.5 + 0.5 * context.nextRandom()));
        }
        return soonestUs - context.nowUs();
    }

    /** Calls the counter for the units of a request and the units owed; the answer is the verdict on the request. */
    public void callCounter(QuotaRequest request) {
        // Adds uncounted units for all such customers, whose own next call from here may be a minute away.
        if (isShareBelowOneRequest()) {
            owedUnits += counter.takeUncountedUnits(request.units());
        }
        request.setChargedUnits(request.units());
        double units = request.chargedUnits() + owedUnits;
        CounterCall call = addToCounter(CounterName.nameAt(context.nowUs(), customer), units, request, 0, 0);
        owedUnits = 0;
        context.schedule(context.nowUs() + counter.responseTimes.timeOutUs(), () -> callTimedOut(call));
    }

    /** Decides a request at once by the leaky bucket, since the counter cannot be called. */
    public void decideLocally(QuotaRequest request) {
        boolean charged = request.isAwaitingCounter();
        double units = request.units();
        if (!bucket.takeUnits(units)) {
            request.reject(retryAfterUs(bucket.waitUs(units), units));
            return;
        }
        credit.spendUnits(units);
        if (!charged && counter.isAnswering() && isShareBelowOneRequest()) {
            counter.poolUncountedUnits(units);
        } else if (!charged) {
            request.setChargedUnits(units);
            owedUnits += units;
        }
        request.admit();
    }

    // ---- Admitted requests ----

    /** Records that the first attempt of a request was sent: the request counts as open until it is closed. */
    public void requestOpened() {
        openRequests++;
    }

    /**
     * Records that a request has its final answer; units that it was charged and never used are returned.
     *
     * @param opened whether an attempt of the request was sent
     */
    public void requestClosed(QuotaRequest request, boolean opened) {
        waitingRequests.remove(request);
        pendingRequests--;
        if (opened) {
            openRequests--;
        } else if (request.isAdmitted()) {
            owedUnits -= request.chargedUnits();
        }
    }

    /** Charges units that a request used beyond those it was charged; negative if it used fewer. */
    public void settleUnits(double moreUnits) {
        owedUnits += moreUnits;
    }

    // ---- Calls on the counter and their answers ----

    private CounterCall addToCounter(
            long name, double units, QuotaRequest request, double excessUnits, double expectedRemaining) {
        CounterCall call = new CounterCall(name, units, context.nowUs(), request, excessUnits, expectedRemaining);
        calls.add(call);
        counter.addUnits(name, units);
        return call;
    }

    private void returnUnits(long name, double units) {
        addToCounter(name, -units, null, 0, 0);
    }

    /** Removes and returns the oldest outstanding call on a name; null if there is none. */
    CounterCall takeCall(long name) {
        for (CounterCall call : calls) {
            if (call.name == name) {
                calls.remove(call);
                return call;
            }
        }
        return null;
    }

    /**
     * Handles the answer to a call.
     *
     * @param total the total of the name after the call
     */
    void callAnswered(CounterCall call, double total) {
        long epochAgeUs = CounterName.ageUs(call.name, context.nowUs(), customer);
        double remaining = plan.burst() + plan.rate() * epochAgeUs / 1e6 - total;
        QuotaRequest request = call.request;
        if (request == null) {
            credit.recordReading(remaining + undoRepeatedTrim(call, remaining));
            return;
        }
        remaining -= trimExcess(call, total, remaining);
        if (!counter.pacer.isPaced()) {
            bucket.discard();
        }
        // The request was decided by the leaky bucket before this late answer, or its client has left.
        if (!request.isAwaitingCounter()) {
            if (!request.isAdmitted()) {
                returnUnits(call.name, request.chargedUnits());
            }
            credit.recordReading(remaining + (request.isAdmitted() ? 0 : request.chargedUnits()));
        } else if (remaining >= 0) {
            credit.recordReading(remaining);
            gossipToPeers();
            request.admit();
        } else {
            // Units that buckets admitted beyond the quota took nothing from the customer's credit, so later requests
            // do not owe them.
            double charged = request.chargedUnits();
            double debt = Math.max(0, Math.min(call.units - charged, -remaining - charged));
            credit.recordReading(remaining + charged + debt);
            addToCounter(call.name, -charged - debt, null, 0, 0);
            gossipToPeers();
            request.reject(retryAfterUs(credit.refillWaitUs(request.units()), request.units()));
        }
        while (!waitingRequests.isEmpty() && !mustAwaitVerdict(waitingRequests.peek())) {
            waitingRequests.poll().retryAdmission();
        }
    }

    /**
     * Takes back a trim that another gateway has made too; the gateway whose call came second does so. Returns the
     * units taken back.
     */
    private double undoRepeatedTrim(CounterCall call, double remaining) {
        if (call.excessUnits >= 2 && call.expectedRemaining - remaining >= REPEATED_TRIM_FRACTION * call.excessUnits) {
            returnUnits(call.name, call.excessUnits);
            return call.excessUnits;
        }
        return 0;
    }

    /**
     * Trims the units above the burst by adding them to the count. The call that created the name, which reads only its
     * own units, restores the units that this gateway remembers as spent: after the counter lost its data, after the
     * return of a customer whose name had expired, and at the start of an epoch. Returns the units trimmed.
     */
    private double trimExcess(CounterCall call, double total, double remaining) {
        boolean isCreator = Math.abs(total - call.units) < OWN_UNITS_TOLERANCE;
        double remainingBefore = isCreator ? credit.rememberedUnits() : credit.maxUnits();
        double excessUnits = remaining + call.units - remainingBefore;
        boolean isLarge = excessUnits > (isCreator ? 0.5 : Math.max(1, plan.burst() * UNTRIMMED_BURST_FRACTION));
        if (isLarge && (isCreator || !awaitsCreator(total < excessUnits))) {
            addToCounter(call.name, excessUnits, null, excessUnits, remaining - excessUnits);
            return excessUnits;
        }
        return 0;
    }

    /**
     * Returns true if the excess of a new name should be left to the gateway that created the name. The excess of a new
     * name is everything that the age of its epoch gives. Without this wait, each gateway that reads the name before
     * its creator has trimmed the excess would trim it too, which leaves a debt of several minutes. Another gateway
     * trims the excess only if it persists.
     */
    private boolean awaitsCreator(boolean isNew) {
        if (!isNew) {
            awaitCreatorUntilUs = PolicyContext.DISTANT_PAST_US;
        } else if (awaitCreatorUntilUs == PolicyContext.DISTANT_PAST_US) {
            // Waits the counter's time limit once for the creator's call and once for its trim, then a random time so
            // that gateways act one after another.
            awaitCreatorUntilUs =
                    context.nowUs() + (long) (settings.counterTimeoutUs() * (2 + 4 * context.nextRandom()));
        }
        return isNew && context.nowUs() < awaitCreatorUntilUs;
    }

    /**
     * Handles a failed call. A call that was rejected or lost to an outage was not added to the count; a counter that
     * is only busy adds it late.
     *
     * @param isAnswer whether the failure shows that the counter has handled the call
     */
    void callFailed(CounterCall call, Outcome outcome, boolean isAnswer) {
        callTimedOut(call);
        boolean added =
                isAnswer || (outcome == Outcome.TIMED_OUT && counter.responseTimes.hasAnsweredSince(call.sentAtUs));
        // The excess is not owed: the next gateway that reads the name sees it.
        owedUnits += added ? 0 : call.units - call.excessUnits;
        owedUnits -= call.request != null && !call.request.isAdmitted() ? call.request.chargedUnits() : 0;
    }

    /** Handles a call without an answer within its time-out: the bucket decides the request and those that wait. */
    private void callTimedOut(CounterCall call) {
        if (call.settled) {
            return;
        }
        call.settled = true;
        if (call.request != null && call.request.isAwaitingCounter()) {
            decideLocally(call.request);
        }
        while (!waitingRequests.isEmpty()) {
            decideLocally(waitingRequests.poll());
        }
    }

    /**
     * Reduces the units owed after an outage to those that this gateway's leaky bucket still lacks. The rest has
     * refilled during the outage, and the first gateway that reads the count trims it to a full burst; adding all units
     * owed would leave a debt.
     */
    void forgetRefilledDebt() {
        if (bucket.exists() && owedUnits > 0) {
            owedUnits = Math.min(owedUnits, bucket.missingUnits());
        }
    }

    // ---- Gossip between gateways ----

    /** Applies a peer's reading as an upper bound of the remaining units. */
    void applyUpperBound(PeerReading reading) {
        credit.applyUpperBound(reading);
    }

    /**
     * Sends the last reading to the customer's other gateways if it leaves no room for a request and calls are limited.
     * This protects an overloaded counter against customers at the end of their quota: one reading serves all of the
     * customer's gateways.
     */
    private void gossipToPeers() {
        if (!counter.pacer.isPaced() || !settings.gossipAllowed() || credit.unitsWithoutRefill() >= 1) {
            return;
        }
        for (int i = 0; i < gateways; i++) {
            int gateway = (firstGateway + i) % settings.gatewayCount();
            if (gateway != settings.ordinal()) {
                context.host().sendToPeer(gateway, new CreditGossip(customer, credit.unitsWithoutRefill()).encode());
            }
        }
    }
}
