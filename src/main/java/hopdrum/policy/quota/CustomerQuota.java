package hopdrum.policy.quota;

import hopdrum.host.CreditGossip;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import hopdrum.host.Settings;
import hopdrum.policy.context.PolicyContext;
import java.util.ArrayDeque;
import java.util.Deque;

/** The quota of one customer at this gateway: its calls on the counter, the requests that wait for them, its debts. */
public final class CustomerQuota {
    private static final long LEAST_KEPT_US = 5_000_000;
    private static final double LAZY_EXCESS = 0.25; // share of the burst left untrimmed, to save calls
    private static final double OWN_UNITS_NOISE = 1e-3; // a total as near to a call's own units is its own alone
    private static final double REPEATED_EXCESS = 0.9; // of an excess: it was trimmed twice

    private final PolicyContext context;
    private final Settings settings;
    private final CounterService counter;
    private final long customer;
    private final Plan plan;
    private final int firstGateway; // its gateways are so many in a row from this one
    private final int gateways;
    private final CreditEstimate credit;
    private final FallbackBucket bucket;
    private final Deque<CounterCall> calls = new ArrayDeque<>(2); // emptied by answers; each call gets one
    private final Deque<QuotaRequest> waiting = new ArrayDeque<>(1); // emptied when a call is settled
    private double owedUnits; // admitted, but not in the count yet
    private long makerUntilUs = PolicyContext.NEVER; // until when the add of a new name's maker is awaited
    private long nextRetryAtUs = PolicyContext.NEVER;
    private long lastUsedUs;
    private int openRequests;

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

    /** The customer's key. */
    public long customer() {
        return customer;
    }

    /** The customer's plan. */
    public Plan plan() {
        return plan;
    }

    /** A request of it has come in: it is kept for a while. */
    public void touch() {
        lastUsedUs = context.nowUs();
    }

    boolean isIdle() {
        double refillUs = plan.rate() > 0 ? plan.burst() / plan.rate() * 1e6 : 0;
        return calls.isEmpty()
                && openRequests == 0
                && context.nowUs() - lastUsedUs > Math.max(LEAST_KEPT_US, 2 * refillUs)
                && (!bucket.exists() || bucket.isFull());
    }

    // ---- Admission ----

    /** True if its share of the plan's limit on open requests is used up. */
    public boolean isAtConcurrencyLimit() {
        return plan.concurrencyLimit() > 0 && openRequests >= Math.ceil((double) plan.concurrencyLimit() / gateways);
    }

    /** How long it is surely beyond its quota for so many units, in microseconds; 0 where it may not be. */
    public long refillWaitUs(double units) {
        return credit.refillWaitUs(units);
    }

    /** True if its share is less than a request: this gateway alone knows next to nothing of the customer. */
    public boolean isShareBelowOneRequest() {
        return plan.burst() < gateways;
    }

    /** True if its leaky bucket at this gateway holds so many units. */
    public boolean bucketHolds(double units) {
        return bucket.levelFor(units) >= units;
    }

    /**
     * Guards the counter against a customer that comes all at once (traffic beyond its quota, clients that return
     * together): no more calls are out than the credit known could admit, and one.
     */
    public boolean mustAwaitVerdict(QuotaRequest request) {
        if (!credit.isKnown()) {
            return false;
        }
        double asked = 0;
        for (CounterCall call : calls) {
            asked += call.isAwaitedByRequest() ? call.request.units() : 0;
        }
        return asked > 0 && asked + request.units() > credit.remaining();
    }

    /** Has a request wait for the answer to a call that is out. */
    public void awaitVerdict(QuotaRequest request) {
        waiting.add(request);
    }

    /** Names a time to come back, in microseconds from now: rejected clients return as the refill could serve them. */
    public long retryAfterUs(long waitUs, double units) {
        long soonestUs = Math.max(context.nowUs() + waitUs, nextRetryAtUs);
        nextRetryAtUs = plan.rate() > 0 ? soonestUs + (long) (units / plan.rate() * 1e6) : soonestUs;
        if (soonestUs > context.nowUs() + settings.maxRetryAfterUs()) { // cannot be named: spread over what can
            nextRetryAtUs = soonestUs;
            return (long) (settings.maxRetryAfterUs() * (0.5 + 0.5 * context.nextRandom()));
        }
        return soonestUs - context.nowUs();
    }

    /** Makes the call that asks the counter for a request's units and what is owed; its answer is the verdict. */
    public void ask(QuotaRequest request) {
        if (isShareBelowOneRequest()) { // for all such customers, whose own next call here may come in a minute
            owedUnits += counter.takeUncounted(request.units());
        }
        request.setChargedUnits(request.units());
        double units = request.chargedUnits() + owedUnits;
        CounterCall call = add(CounterName.at(context.nowUs(), customer), units, request, 0, 0);
        owedUnits = 0;
        context.schedule(context.nowUs() + counter.responseTimes.timeOutUs(), () -> silent(call));
    }

    /** The counter cannot be asked: the leaky bucket decides at once. */
    public void decideLocally(QuotaRequest request) {
        boolean charged = request.isAwaitingCounter();
        double units = request.units();
        if (!bucket.take(units)) {
            request.reject(retryAfterUs(bucket.waitUs(units), units));
            return;
        }
        credit.spend(units);
        if (!charged && counter.isAnswering() && isShareBelowOneRequest()) {
            counter.poolUncounted(units);
        } else if (!charged) {
            request.setChargedUnits(units);
            owedUnits += units;
        }
        request.admit();
    }

    // ---- What becomes of admitted requests ----

    /** The first attempt of a request has been sent: it counts as open until it is closed. */
    public void requestOpened() {
        openRequests++;
    }

    /** A request has its final answer; units that it was charged and never used go back. */
    public void requestClosed(QuotaRequest request, boolean opened) {
        waiting.remove(request);
        if (opened) {
            openRequests--;
        } else if (request.isAdmitted()) {
            owedUnits -= request.chargedUnits();
        }
    }

    /** A request turned out to use more units than it was charged, or fewer. */
    public void settle(double moreUnits) {
        owedUnits += moreUnits;
    }

    // ---- The counter's answers ----

    private CounterCall add(long name, double units, QuotaRequest request, double excess, double remainingAfter) {
        CounterCall call = new CounterCall(name, units, context.nowUs(), request, excess, remainingAfter);
        calls.add(call);
        counter.add(name, units);
        return call;
    }

    private void giveBack(long name, double units) {
        add(name, -units, null, 0, 0);
    }

    /** Removes the longest outstanding call on a name; null if there is none. */
    CounterCall takeCall(long name) {
        for (CounterCall call : calls) {
            if (call.name == name) {
                calls.remove(call);
                return call;
            }
        }
        return null;
    }

    /** A call was answered with the name's total after it. */
    void answered(CounterCall call, double total) {
        long epochAgeUs = CounterName.ageUs(call.name, context.nowUs(), customer);
        double remaining = plan.burst() + plan.rate() * epochAgeUs / 1e6 - total;
        QuotaRequest request = call.request;
        if (request == null) {
            credit.read(remaining + undoneExcess(call, remaining));
            return;
        }
        remaining -= trimmedExcess(call, total, remaining);
        if (!counter.pacer.isPaced()) {
            bucket.discard();
        }
        if (!request.isAwaitingCounter()) { // answered late, decided by the leaky bucket meanwhile
            if (!request.isAdmitted()) {
                giveBack(call.name, request.chargedUnits());
            }
            credit.read(remaining + (request.isAdmitted() ? 0 : request.chargedUnits()));
        } else if (remaining >= 0) {
            credit.read(remaining);
            tellPeers();
            request.admit();
        } else {
            // What buckets admitted beyond the quota took nothing from its store: no debt for later requests.
            double charged = request.chargedUnits();
            double debt = Math.max(0, Math.min(call.units - charged, -remaining - charged));
            credit.read(remaining + charged + debt);
            add(call.name, -charged - debt, null, 0, 0);
            tellPeers();
            request.reject(retryAfterUs(credit.refillWaitUs(request.units()), request.units()));
        }
        while (!waiting.isEmpty() && !mustAwaitVerdict(waiting.peek())) {
            waiting.poll().retryAdmission();
        }
    }

    /** Two gateways may have trimmed the same excess: the one whose add came second takes it back. Returns how much. */
    private double undoneExcess(CounterCall call, double remaining) {
        if (call.excess >= 2 && call.remainingAfter - remaining >= REPEATED_EXCESS * call.excess) {
            giveBack(call.name, call.excess);
            return call.excess;
        }
        return 0;
    }

    /**
     * Units above the burst are trimmed by an add. The call that made the name (it reads its own units alone) restores
     * what this gateway remembers as spent: after a flush, an empty return, an epoch's turn. Returns how much was trimmed.
     */
    private double trimmedExcess(CounterCall call, double total, double remaining) {
        boolean isMaker = Math.abs(total - call.units) < OWN_UNITS_NOISE;
        double before = isMaker ? credit.remembered() : credit.capacity();
        double excess = remaining + call.units - before;
        boolean isLarge = excess > (isMaker ? 0.5 : Math.max(1, plan.burst() * LAZY_EXCESS));
        if (isLarge && (isMaker || !awaitsMaker(total < excess))) {
            add(call.name, excess, null, excess, remaining - excess);
            return excess;
        }
        return 0;
    }

    /**
     * Guards against the excess of a new name (all that its epoch's age gives) trimmed by each gateway that reads it
     * before its maker's add: a debt of minutes. Only if it stands is it another's to trim.
     */
    private boolean awaitsMaker(boolean isNew) {
        if (!isNew) {
            makerUntilUs = PolicyContext.NEVER;
        } else if (makerUntilUs == PolicyContext.NEVER) { // a call and an add: the counter's limit each; then in turn
            makerUntilUs = context.nowUs() + (long) (settings.counterTimeoutUs() * (2 + 4 * context.nextRandom()));
        }
        return isNew && context.nowUs() < makerUntilUs;
    }

    /** A call failed. One that was rejected was not added, nor was one that an outage took; a busy counter adds late. */
    void failed(CounterCall call, Outcome outcome, boolean isAnswer) {
        silent(call);
        boolean added =
                isAnswer || (outcome == Outcome.TIMED_OUT && counter.responseTimes.hasAnsweredSince(call.sentAtUs));
        owedUnits += added ? 0 : call.units - call.excess; // whoever reads the name next sees the excess
        owedUnits -= call.request != null && !call.request.isAdmitted() ? call.request.chargedUnits() : 0;
    }

    /** No answer within the time-out: the bucket decides for the request, and for those that wait. */
    private void silent(CounterCall call) {
        if (call.settled) {
            return;
        }
        call.settled = true;
        if (call.request != null && call.request.isAwaitingCounter()) {
            decideLocally(call.request);
        }
        while (!waiting.isEmpty()) {
            decideLocally(waiting.poll());
        }
    }

    /**
     * After an outage each gateway owes the count only what its leaky bucket still lacks: the rest is refilled, and
     * whoever reads the count first trims it to a full burst. All of it would be a debt.
     */
    void forgetRefilledDebt() {
        if (bucket.exists() && owedUnits > 0) {
            owedUnits = Math.min(owedUnits, bucket.lacking());
        }
    }

    // ---- Readings between gateways ----

    /** Takes a peer's reading as an upper bound of what remains. */
    void limitTo(PeerReading reading) {
        credit.limitTo(reading);
    }

    /**
     * Guards the counter, while it is crowded, against customers at the end of their quota: one reading that leaves no
     * room for a request serves all of the customer's gateways.
     */
    private void tellPeers() {
        if (!counter.pacer.isPaced() || !settings.gossipAllowed() || credit.unitsAsRead() >= 1) {
            return;
        }
        for (int i = 0; i < gateways; i++) {
            int gateway = (firstGateway + i) % settings.gatewayCount();
            if (gateway != settings.ordinal()) {
                context.host().sendToPeer(gateway, new CreditGossip(customer, credit.unitsAsRead()).encode());
            }
        }
    }
}
