package hopdrum.policy;

import hopdrum.host.CreditGossip;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import hopdrum.host.QuotaLease;
import hopdrum.policy.Policy.Rpc;
import hopdrum.policy.Policy.Stage;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The quota count: customers, calls on the counter, leaky buckets for its silence, messages between gateways.
 * An epoch is the longest time that the counter keeps a name.
 */
final class Quota extends Part {
    private static final long EPOCH_US = 60_000_000;
    private static final int CUSTOMER_BITS = 33;
    private static final long LEAST_TIME_OUT_US = 5_000;
    private static final double LEAST_PACE = 60; // calls a second, by all gateways, to a dead counter
    private static final double PACE_DROP = 0.85; // for a call lost
    private static final double LEAST_FORGETS = 1.002; // an answer: half as much again in some 200 of them
    private static final double PACE_GAIN = 0.03; // for a call answered, times the seconds without loss
    private static final long OUTAGE_US = 1_000_000; // of silence: what was spent before is refilled
    private static final long LEAST_KEPT_US = 5_000_000;
    private static final double LAZY_EXCESS = 0.25; // share of the burst left untrimmed, to save calls
    private static final double AT_START = 0.75; // buckets that a gateway just started takes as full
    private static final double AT_ONCE = 6; // bursts that all of a customer's gateways may hold so
    private static final double MOST_WEIGHT = 2; // RPCs of others that a call stands for, over its own
    private static final long TOLD_US = 2_000_000; // a reading of a customer not seen here is kept
    private static final double MOST_UNUSED = 0.6; // of the rate, by even slices where gateways are many

    private final Policy policy;
    private final long startedUs;
    private final Map<Long, Customer> customers = new LinkedHashMap<>(); // emptied by sweep() when idle
    private final Map<Long, Told> told = new LinkedHashMap<>(); // by customer; emptied by sweep()
    private double answerUs = LEAST_TIME_OUT_US / 4.0;
    private double leastAnswerUs = Double.MAX_VALUE; // of late: on its way, where nothing waits there
    private double answerDevUs = LEAST_TIME_OUT_US / 4.0;
    private long lastAnswerUs = NEVER;
    private double pace = Double.MAX_VALUE; // calls a second that the counter is asked for at most
    private double knownGoodPace;
    private double allowance = 1; // calls that may be made now
    private long allowanceAtUs;
    private double callRate; // calls a second, over the last second or so
    private double uncounted; // let in by slices that hold no RPC, and in no count yet
    private long lastCallUs;
    private long lastLossUs;
    private boolean answeredSinceLoss;

    Quota(Policy policy) {
        super(policy);
        this.policy = policy;
        this.startedUs = now();
    }

    /** The customer of an RPC just taken. */
    Customer customer(long key, int plan, int first, int gateways) {
        Customer c = customers.computeIfAbsent(
                key, k -> new Customer(k, settings.plans().get(plan), first, gateways));
        Told reading = told.remove(key);
        if (reading != null) c.heard(reading);
        return c;
    }

    /** True if it was one of this gateway's calls. */
    boolean counted(long name, Outcome outcome, double total, long tookUs) {
        Customer customer = customers.get(name & ((1L << CUSTOMER_BITS) - 1));
        Count count = customer == null ? null : customer.nextOf(name);
        if (count == null) return false;
        if (outcome == Outcome.OK) {
            count.settled = true;
            if (now() - lastAnswerUs > OUTAGE_US) customers.values().forEach(Customer::forgetRefilled);
            lastAnswerUs = now();
            leastAnswerUs = Math.min((double) tookUs, leastAnswerUs * LEAST_FORGETS);
            paceUp(tookUs);
            answerDevUs += (Math.abs(tookUs - answerUs) - answerDevUs) / 4;
            answerUs += (tookUs - answerUs) / 8;
            customer.answered(count, total);
        } else {
            boolean answers = outcome == Outcome.UNREADABLE || outcome == Outcome.RESET;
            boolean broke = outcome == Outcome.CONNECT_FAILED && now() - lastAnswerUs < OUTAGE_US;
            if (!answers && !broke) paceDown(); // a spoilt answer, a connection that broke: no crowd
            silence(count);
            // A call turned away was not added, nor was one that an outage took; a busy counter adds late.
            boolean added = answers || (outcome == Outcome.TIMED_OUT && lastAnswerUs >= count.sentUs);
            customer.owed += added ? 0 : count.amount - count.excess; // whoever reads it next sees the excess
            customer.owed -= count.rpc != null && !count.rpc.admitted ? count.rpc.weight : 0;
        }
        return true;
    }

    void heard(byte[] message) {
        CreditGossip said = CreditGossip.decode(message);
        if (said == null || said.remainingUnits() >= 1) return; // nothing that a gateway tells
        Customer customer = customers.get(said.customer());
        Told reading = new Told(said.remainingUnits(), now());
        if (customer == null) {
            told.put(said.customer(), reading);
        } else {
            customer.heard(reading);
        }
    }

    private static long stagger(long customer) {
        return Long.remainderUnsigned(customer * 0x9E3779B97F4A7C15L, EPOCH_US);
    }

    private long timeOutUs() {
        long most = Math.max(LEAST_TIME_OUT_US, settings.counterTimeoutUs() * 3 / 4);
        return Math.min(most, Math.max(LEAST_TIME_OUT_US, (long) (answerUs + 4 * answerDevUs)));
    }

    /**
     * Guards a counter that is crowded, slow, refusing or dead: a call lost lowers the pace of calls, answers
     * raise it, as in TCP; it ends when calls are far fewer than it allows. Meanwhile the bucket lets in
     * what it can and calls go to what it would refuse; each adds what its customer was let in since.
     */
    private boolean isPaced() {
        return pace < Double.MAX_VALUE;
    }

    boolean callsAreScarce() {
        return isPaced() && allowance < 2;
    }

    boolean counterMayBeAsked() {
        if (!settings.counterAvailable()) return false;
        if (!isPaced()) return true;
        allowance = Math.min(Math.max(1, pace / 10), allowance + pace * (now() - allowanceAtUs) / 1e6);
        allowanceAtUs = now();
        return allowance >= 1;
    }

    private double callRate() {
        double seen = 1 - Math.exp((startedUs - now() - 1) / 1e6); // of a full window, just after a start
        return callRate * Math.exp((lastCallUs - now()) / 1e6) / seen;
    }

    private void paceUp(long tookUs) {
        answeredSinceLoss = true;
        if (!isPaced()) return;
        double sinceLossS = (now() - lastLossUs) / 1e6;
        if (pace < knownGoodPace) {
            pace = Math.min(knownGoodPace, pace * 2);
        } else if (tookUs - leastAnswerUs < settings.counterTimeoutUs() / 6.0 && allowance < 2) {
            pace *= 1 + PACE_GAIN * (1 + sinceLossS);
        }
        if (sinceLossS > 5 && pace > 1.5 * callRate()) {
            pace = Double.MAX_VALUE;
            knownGoodPace = 0;
        }
    }

    private void paceDown() {
        if (isPaced() && now() - lastLossUs < timeOutUs()) return; // those lost together are one loss
        if (!isPaced()) allowance = 0; // what was not limited is no debt
        if (answeredSinceLoss) knownGoodPace = (isPaced() ? pace : callRate()) * PACE_DROP;
        pace = Math.max(LEAST_PACE / settings.gateways(), (isPaced() ? pace : callRate()) * PACE_DROP);
        answeredSinceLoss = false;
        lastLossUs = now();
    }

    private void silence(Count count) {
        if (count.settled) return;
        count.settled = true;
        if (count.rpc != null && count.rpc.stage == Stage.COUNTING) count.customer.decideLocally(count.rpc);
        while (!count.customer.waiting.isEmpty()) count.customer.decideLocally(count.customer.waiting.poll());
    }

    void sweep() {
        told.values().removeIf(t -> now() > t.atUs + TOLD_US);
        customers.values().removeIf(Customer::isIdle);
    }

    /** One customer (quota key): what is known of its count, and its leaky bucket for silent times. */
    final class Customer {
        final long key;
        final Plan plan;
        final int first; // its gateways are so many in a row from this one
        final int gateways;
        final Deque<Count> pending = new ArrayDeque<>(2); // emptied by answers; each call gets one
        final Deque<Rpc> waiting = new ArrayDeque<>(1); // emptied when a pending call is settled
        double credit = -1; // as last read, less what was let in since
        long creditAtUs = NEVER;
        long makerUntilUs = NEVER; // whose name was read as its maker left it: until when its add is awaited
        double owed; // let in, but not in the count yet
        double bucket = -1; // the split leaky bucket; below 0: none
        long bucketAtUs;
        long lastUsedUs;
        long nextReturnUs = NEVER;
        int open;

        Customer(long key, Plan plan, int first, int gateways) {
            this.key = key;
            this.plan = plan;
            this.first = first;
            this.gateways = Math.max(1, Math.min(gateways, settings.gateways()));
        }

        boolean isIdle() {
            double fullUs = plan.rate() > 0 ? plan.burst() / plan.rate() * 1e6 : 0;
            return pending.isEmpty()
                    && open == 0
                    && now() - lastUsedUs > Math.max(LEAST_KEPT_US, 2 * fullUs)
                    && (bucket < 0 || bucketNow(1) >= depth(1));
        }

        boolean openIsFull() {
            return plan.concurrencyLimit() > 0 && open >= Math.ceil((double) plan.concurrencyLimit() / gateways);
        }

        double creditNow() {
            return Math.min(fullStore(), credit + plan.rate() * (now() - creditAtUs) / 1e6);
        }

        /**
         * Guards the counter against a customer that comes all at once (tries beyond its quota, clients that
         * return together): no more calls are out than the credit known could let in, and one.
         */
        boolean awaitsVerdict(Rpc rpc) {
            if (creditAtUs == NEVER) return false;
            double asked = 0;
            for (Count count : pending) asked += count.rpc != null && !count.settled ? count.rpc.units : 0;
            return asked > 0 && asked + rpc.units > creditNow();
        }

        /** What was read bounds what its store can hold: until the refill makes room, no call is needed. */
        long beyondForUs(double units) {
            if (creditAtUs == NEVER || plan.rate() <= 0) return 0;
            return Math.max(0, (long) ((units - creditNow()) / plan.rate() * 1e6));
        }

        /** Harm from a false word: it cannot keep a customer out for longer than two bursts' refill. */
        void heard(Told reading) {
            double atMost = Math.max(reading.credit, -plan.burst());
            if (creditAtUs != NEVER && creditNow() <= atMost) return;
            credit = atMost;
            creditAtUs = reading.atUs;
        }

        /** Names a time to come back: clients that are refused return as the refill could serve them. */
        long returnIn(long waitUs, double units) {
            long soonestUs = Math.max(now() + waitUs, nextReturnUs);
            nextReturnUs = plan.rate() > 0 ? soonestUs + (long) (units / plan.rate() * 1e6) : soonestUs;
            if (soonestUs > now() + settings.maxRetryAfterUs()) { // cannot be named: spread over what can
                nextReturnUs = soonestUs;
                return (long) (settings.maxRetryAfterUs() * (0.5 + 0.5 * random.nextDouble()));
            }
            return soonestUs - now();
        }

        void ask(Rpc rpc) {
            if (holdsNone()) { // of all such customers, whose own next call here may come in a minute
                double others = Math.min(uncounted, MOST_WEIGHT * rpc.units);
                uncounted -= others;
                owed += others;
            }
            rpc.weight = rpc.units;
            Count count = add(((now() + stagger(key)) / EPOCH_US) << CUSTOMER_BITS | key, rpc.weight + owed);
            owed = 0;
            count.rpc = rpc;
            at(now() + timeOutUs(), () -> silence(count));
        }

        Count add(long name, double amount) {
            Count count = new Count();
            count.customer = this;
            count.name = name;
            count.amount = amount;
            count.sentUs = now();
            pending.add(count);
            callRate = callRate * Math.exp((lastCallUs - now()) / 1e6) + 1;
            lastCallUs = now();
            allowance -= 1;
            host.addToCounter(name, amount, EPOCH_US);
            return count;
        }

        Count nextOf(long name) {
            Count next =
                    pending.stream().filter(c -> c.name == name).findFirst().orElse(null);
            pending.remove(next);
            return next;
        }

        void answered(Count count, double total) {
            Rpc rpc = count.rpc;
            long epochAgeUs = now() + stagger(key) - (count.name >>> CUSTOMER_BITS) * EPOCH_US;
            double room = plan.burst() + plan.rate() * epochAgeUs / 1e6 - total;
            if (rpc == null) {
                // Two gateways may have seen the same excess: the one whose add came second takes it back.
                if (count.excess >= 2 && count.roomAfter - room >= 0.9 * count.excess) {
                    add(count.name, -count.excess);
                    room += count.excess;
                }
                know(room);
                return;
            }
            // Room above the burst is added back. The call that made the name (it reads its own amount alone)
            // puts back what this gateway remembers as spent: after a flush, an empty return, an epoch turn.
            boolean made = Math.abs(total - count.amount) < 1e-3;
            double before = made ? rememberedCredit() : fullStore();
            double excess = room + count.amount - before;
            boolean large = excess > (made ? 0.5 : Math.max(1, plan.burst() * LAZY_EXCESS));
            if (large && (made || !awaitsMaker(total < excess))) {
                room -= excess;
                Count trim = add(count.name, excess);
                trim.excess = excess;
                trim.roomAfter = room;
            }
            if (!isPaced()) bucket = -1;
            if (rpc.stage != Stage.COUNTING) { // answered late, decided by the leaky bucket meanwhile
                if (!rpc.admitted) add(count.name, -rpc.weight);
                know(room + (rpc.admitted ? 0 : rpc.weight));
            } else if (room >= 0) {
                know(room);
                tellOthers();
                rpc.admit();
            } else {
                // What buckets let in beyond the quota took nothing from its store: no debt for later RPCs.
                double debt = Math.max(0, Math.min(count.amount - rpc.weight, -room - rpc.weight));
                know(room + rpc.weight + debt);
                add(count.name, -rpc.weight - debt);
                tellOthers();
                policy.finish(rpc, returnIn(beyondForUs(rpc.units), rpc.units));
            }
            while (!waiting.isEmpty() && !awaitsVerdict(waiting.peek())) policy.advance(waiting.poll());
        }

        /**
         * Guards against the excess of a new name (all that its epoch's age gives) added back by each gateway
         * that reads it before its maker's add: a debt of minutes. Only if it stands is it another's to add.
         */
        boolean awaitsMaker(boolean unmade) {
            if (!unmade) {
                makerUntilUs = NEVER;
            } else if (makerUntilUs == NEVER) { // a call and an add: the counter's limit each; then in turn
                makerUntilUs = now() + (long) (settings.counterTimeoutUs() * (2 + 4 * random.nextDouble()));
            }
            return unmade && now() < makerUntilUs;
        }

        void know(double room) {
            credit = room;
            creditAtUs = now();
        }

        /**
         * Guards the counter, while it is crowded, against customers at the end of their quota: one reading
         * that leaves no room for an RPC serves all of the customer's gateways.
         */
        void tellOthers() {
            if (!isPaced() || !settings.gossipAllowed() || credit >= 1) return;
            for (int i = 0; i < gateways; i++) {
                int gateway = (first + i) % settings.gateways();
                if (gateway != settings.ordinal()) host.sendToPeer(gateway, new CreditGossip(key, credit).encode());
            }
        }

        /** What the store holds by this gateway's memory; a ceiling may not be staked on an unknown past. */
        double rememberedCredit() {
            if (creditAtUs != NEVER) return creditNow();
            double spare = plan.ceilingBurst() - plan.burst() + plan.ceilingSlack();
            return plan.ceilingRate() > 0 ? Math.max(0, Math.min(fullStore(), spare)) : plan.burst();
        }

        /** What its store can hold: under a ceiling, what has refilled since its shard came to this tier. */
        double fullStore() {
            double refilled = plan.rate() * host.ownershipAgeUs(key) / 1e6;
            return plan.ceilingRate() > 0 ? Math.min(plan.burst(), refilled) : plan.burst();
        }

        /** Its slices are shares of an RPC: this gateway alone knows next to nothing of the customer. */
        boolean holdsNone() {
            return plan.burst() < gateways;
        }

        /** Its part of what is split: in a fleet as settled, and nothing where that may not be acted on. */
        double part() {
            QuotaLease fleet = host.quotaLease();
            if (fleet == null) return 1.0 / gateways;
            return now() < fleet.untilUs() ? 1.0 / fleet.maxGatewaysSharing(first, gateways, settings.gateways()) : 0;
        }

        double depth(double units) {
            return part() > 0 ? Math.max(units, plan.burst() * part()) : 0;
        }

        /** Its share of the rate, and of what the more gateways with less of the traffic leave unused. */
        double sliceRate() {
            double unused = host.quotaLease() != null ? 0 : MOST_UNUSED; // halves of a split keep the rate
            double gain = 1 + unused * Math.max(0, 1 - 4.0 / gateways);
            double most = plan.ceilingRate() > 0 ? plan.ceilingRate() / plan.rate() - 1 : gain;
            return Math.min(gain, most) * plan.rate() * part();
        }

        double bucketNow(double units) {
            double depth = depth(units); // one RPC at least: a smaller slice would let in none
            if (bucket < 0) { // full as the credit known, or in part of the cases; fewer where nobody reads
                double grown = plan.rate() * (now() - startedUs) / 1e6 / plan.burst();
                boolean read = settings.gossipAllowed() && now() - lastAnswerUs < OUTAGE_US; // beyond would be told
                double share = read ? 1 : Math.min(1, AT_ONCE * plan.burst() / gateways);
                double full = Math.max(AT_START, grown) * share;
                bucket = depth
                        * (creditAtUs != NEVER
                                ? Math.max(0, Math.min(1, creditNow() / plan.burst()))
                                : host.quotaLease() != null
                                        ? Math.min(fullStore() / plan.burst(), grown)
                                        : random.nextDouble() < full ? 1 : 0);
                bucketAtUs = now();
            }
            return Math.min(depth, bucket + sliceRate() * (now() - bucketAtUs) / 1e6);
        }

        /**
         * After an outage each gateway owes the count only what its leaky bucket still lacks: the rest is
         * refilled, and whoever reads the count first trims it to a full burst. All of it would be a debt.
         */
        void forgetRefilled() {
            if (bucket >= 0 && owed > 0) owed = Math.min(owed, Math.max(0, depth(0) - bucketNow(0)));
        }

        /** The counter is silent: a leaky bucket with this gateway's share, started from what it knows. */
        void decideLocally(Rpc rpc) {
            bucket = bucketNow(rpc.units);
            bucketAtUs = now();
            boolean counted = rpc.stage == Stage.COUNTING;
            if (bucket >= rpc.units) {
                bucket -= rpc.units;
                credit -= rpc.units;
                boolean answering = now() - lastAnswerUs < OUTAGE_US;
                if (!counted && answering && holdsNone()) {
                    uncounted += rpc.units;
                } else if (!counted) {
                    owed += rpc.weight = rpc.units;
                }
                rpc.admit();
            } else {
                long waitUs = (long) Math.min(1e12, (rpc.units - bucket) / sliceRate() * 1e6);
                policy.finish(rpc, returnIn(waitUs, rpc.units));
            }
        }
    }

    /** What another gateway has read of a customer. */
    private record Told(double credit, long atUs) {}

    /** One call on the counter. */
    private static final class Count {
        Customer customer;
        long name;
        double amount;
        long sentUs;
        Rpc rpc; // that waits for it, if any
        double excess; // that it adds back, and the room that should be left then
        double roomAfter;
        boolean settled; // answered, or silent past the time-out
    }
}
