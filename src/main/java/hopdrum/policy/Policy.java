package hopdrum.policy;

import hopdrum.host.Host;
import hopdrum.host.Listed;
import hopdrum.host.Method;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import hopdrum.host.Settings;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * All decisions of one gateway. A front door makes one Policy for each start and calls it from one thread:
 * take() for a new RPC, which returns its handle; all later news of that RPC is a call on the handle (Rpc).
 * News that belongs to no RPC comes by counted(), listed(), heard() and wake().
 * The Policy answers by calls on Host while it is being called; hopdrum.host holds that interface and the
 * types of the settings. Read advance() first: it is the ordinary path of an RPC from top to bottom.
 * Times are microseconds. Nothing here knows a deployment, a method or a customer by name.
 */
public final class Policy {
    private static final long NEVER = Long.MIN_VALUE / 2;
    // The quota count. An epoch is the longest time that the counter keeps a name.
    private static final long EPOCH_US = 60_000_000;
    private static final int CUSTOMER_BITS = 33;
    private static final long LEAST_TIME_OUT_US = 5_000;
    private static final double LEAST_PACE = 60;       // calls a second, by all gateways, to a dead counter
    private static final double PACE_DROP = 0.85;      // for a call lost
    private static final double LEAST_FORGETS = 1.002; // an answer: half as much again in some 200 of them
    private static final double PACE_GAIN = 0.03;      // for a call answered, times the seconds without loss
    private static final long OUTAGE_US = 1_000_000;   // of silence: what was spent before is refilled
    private static final long LEAST_KEPT_US = 5_000_000;
    private static final double LAZY_EXCESS = 0.25;    // share of the burst left untrimmed, to save calls
    private static final double AT_START = 0.75;       // buckets that a gateway just started takes as full
    private static final double AT_ONCE = 6;           // bursts that all of a customer's gateways may hold so
    private static final double MOST_WEIGHT = 2;       // RPCs of others that a call stands for, over its own
    private static final long TOLD_US = 2_000_000;     // a reading of a customer not seen here is kept
    private static final int TOLD_BYTES = 9;           // of a message: the customer in 5, its credit in 4
    private static final double MOST_UNUSED = 0.6;     // of the rate, by even slices where gateways are many
    // The line and the places.
    private static final double FIRST_PLACES = 6;      // at a backend, of all gateways together
    private static final double MOST_PLACES = 64;      // at a backend, of one gateway
    private static final double GROW_BY = 0.1;         // places for an answer in good time, if all are used
    private static final double SHRINK_BY = 0.3;       // for an answer that came late or not at all
    private static final double GROW_BELOW = 0.25;     // of the soft deadline: a place more is harmless
    private static final double SHRINK_ABOVE = 0.5;    // of the soft deadline: places are too many
    // Health.
    private static final long FIRST_EJECT_US = 1_000_000;
    private static final long LAST_EJECT_US = 8_000_000;
    private static final double SLOW_FULL = 0.05;      // of the soft deadline: a full backend says so sooner
    private static final double REPEATS_PER_RPC = 0.1;
    private static final double MOST_REPEATS = 15;
    private static final double COLD_MARGIN = 0.5;
    private static final long AGE_NOISE_US = 20_000;   // two first tries differ by less, on their way here
    private static final double TAKEN_OVER_US = 3e6;
    private static final long SWEEP_US = 2_000_000;

    private final Settings settings;
    private final Host host;
    private final SplittableRandom random;
    private final long startedUs;
    private final Row[] rows;
    private final Map<Long, Backend> backends = new LinkedHashMap<>();   // emptied by list news
    private final Map<Long, Customer> customers = new LinkedHashMap<>(); // emptied by sweep() when idle
    private final Map<Long, Told> told = new LinkedHashMap<>();          // by customer; emptied by sweep()
    private final PriorityQueue<Rpc> line = new PriorityQueue<>(         // emptied by pump() and finish()
            Comparator.comparingLong((Rpc r) -> r.startByUs).thenComparingLong(r -> r.order));
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(     // emptied as they come due
            Comparator.comparingLong(Timer::atUs).thenComparingLong(Timer::order));
    private final int queueField;
    private long orders;
    private long wakeAtUs = Long.MAX_VALUE;
    private double repeats = MOST_REPEATS;
    private double places;                      // what this gateway may have out
    // The counter as a whole: its answers' time and its silence.
    private double answerUs = LEAST_TIME_OUT_US / 4.0;
    private double leastAnswerUs = Double.MAX_VALUE; // of late: on its way, where nothing waits there
    private double answerDevUs = LEAST_TIME_OUT_US / 4.0;
    private long lastAnswerUs = NEVER;
    private double pace = Double.MAX_VALUE;     // calls a second that the counter is asked for at most
    private double knownGoodPace;
    private double allowance = 1;               // calls that may be made now
    private long allowanceAtUs;
    private double callRate;                    // calls a second, over the last second or so
    private double uncounted;                   // let in by slices that hold no RPC, and in no count yet
    private long lastCallUs;
    private long lastLossUs;
    private boolean answeredSinceLoss;

    public Policy(Settings settings, long seed, Host host) {
        this.settings = settings;
        this.host = host;
        this.random = new SplittableRandom(seed);
        this.startedUs = host.nowUs();
        this.rows = settings.methods().stream().map(Row::new).toArray(Row[]::new);
        this.queueField = settings.reportFields().indexOf("depth");
        if (settings.mustAskForList()) host.followList();
        at(startedUs + SWEEP_US, this::sweep);
        arm();
    }

    // ---- What the front door tells ----

    /** A client's RPC has come in; exactly one final answer is owed from here on. */
    public Rpc take(long id, int method, long customer, int plan, double units, int first, int gateways,
                    long leftUs) {
        Customer c = customers.computeIfAbsent(customer,
                k -> new Customer(k, settings.plans().get(plan), first, gateways));
        Told reading = told.remove(customer);
        if (reading != null) c.heard(reading);
        Rpc rpc = new Rpc(id, rows[method], c, units, leftUs);
        at(rpc.giveUpAtUs, () -> outOfTime(rpc));
        advance(rpc);
        arm();
        return rpc;
    }

    public void wake() {
        if (now() < wakeAtUs) return; // an earlier wake-up has done this one's work
        wakeAtUs = Long.MAX_VALUE;
        while (!timers.isEmpty() && timers.peek().atUs <= now()) timers.poll().what.run();
        pump();
        arm();
    }

    public void counted(long name, Outcome outcome, double total, long tookUs) {
        Customer customer = customers.get(name & ((1L << CUSTOMER_BITS) - 1));
        Count count = customer == null ? null : customer.nextOf(name);
        if (count == null) return;
        if (outcome == Outcome.OK) {
            count.settled = true;
            if (now() - lastAnswerUs > OUTAGE_US) customers.values().forEach(Customer::forgetRefilled);
            lastAnswerUs = now();
            leastAnswerUs = Math.min(tookUs, leastAnswerUs * LEAST_FORGETS);
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
            boolean added = answers || outcome == Outcome.TIMED_OUT && lastAnswerUs >= count.sentUs;
            customer.owed += added ? 0 : count.amount - count.excess; // whoever reads it next sees the excess
            customer.owed -= count.rpc != null && !count.rpc.admitted ? count.rpc.weight : 0;
        }
        pump();
        arm();
    }

    /** Another gateway has read a customer's count and found no room for one more RPC. */
    public void heard(byte[] message) {
        if (message.length != TOLD_BYTES) return; // not of this kind
        ByteBuffer said = ByteBuffer.wrap(message);
        long key = (said.get() & 0xFFL) << 32 | said.getInt() & 0xFFFFFFFFL;
        float credit = said.getFloat();
        if (!Float.isFinite(credit) || credit >= 1) return; // nothing that a gateway tells
        Customer customer = customers.get(key);
        if (customer == null) {
            told.put(key, new Told(credit, now()));
        } else {
            customer.heard(new Told(credit, now()));
        }
    }

    public void listed(Listed.Form form, List<Listed> entries) {
        if (form == Listed.Form.NONE) {
            at(now() + 1_000_000, host::followList);
            arm();
            return;
        }
        int before = backends.size();
        if (form != Listed.Form.CHANGES) backends.values().forEach(b -> b.ready = false);
        for (Listed entry : entries) {
            Backend backend = backends.computeIfAbsent(entry.backend(), id -> new Backend(entry));
            if (backend.startedUs != entry.startedAtUs()) {
                backend = new Backend(entry);
                backends.put(entry.backend(), backend);
            }
            backend.ready = entry.state() == Listed.State.READY;
        }
        backends.values().removeIf(b -> !b.ready);
        double perBackend = before == 0 ? FIRST_PLACES / settings.gateways() : places / before;
        places = Math.max(2, perBackend * backends.size()); // a fleet half as large bears half as much
        pump();
        arm();
    }

    // ---- The ordinary path ----

    private void advance(Rpc rpc) {
        Customer customer = rpc.customer;
        Plan plan = customer.plan;
        if (rpc.stage == Stage.NEW) {
            // 1. Beyond quota for certain: more than its share open, or a reading not yet refilled says so.
            customer.lastUsedUs = now();
            if (rpc.isTooLate()) {
                finish(rpc, 0); // a client's repeat whose soft deadline has passed takes no units
                return;
            }
            long waitUs = customer.beyondForUs(rpc.units);
            if (customer.openIsFull() || waitUs > 0) {
                finish(rpc, customer.returnIn(waitUs, rpc.units));
                return;
            }
            boolean bucketFirst = isPaced() && allowance < 2
                    && !customer.holdsNone() && customer.bucketNow(rpc.units) >= rpc.units;
            // 2. Ask: one call on the customer's count adds the units; its answer comes to answered().
            if (plan.rate() <= 0) {
                rpc.stage = Stage.LINE;
            } else if (!bucketFirst && customer.awaitsVerdict(rpc)) {
                customer.waiting.add(rpc); // the credit known is spoken for by calls still out
                return;
            } else if (!bucketFirst && counterMayBeAsked()) {
                rpc.stage = Stage.COUNTING;
                customer.ask(rpc);
                return;
            } else {
                customer.decideLocally(rpc);
                return;
            }
        }
        if (rpc.stage == Stage.LINE) {
            // 3. Wait in line until a backend's place comes free; pump() sends it on in its turn.
            line.add(rpc);
            at(rpc.startByUs + 1, this::pump);
            pump();
        }
        // 4. What comes back is a call on the handle: Rpc.callOutEnded().
    }

    /** Gives free places to the line, the RPC that must start soonest first. */
    private void pump() {
        List<Rpc> bound = new ArrayList<>(0);
        while (!line.isEmpty()) {
            Rpc rpc = line.peek();
            if (rpc.callOuts.isEmpty() && rpc.isTooLate()) {
                line.poll();
                finish(rpc, rpc.customer.returnIn(rpc.row.usualUs(), rpc.units)); // too late
                continue;
            }
            Backend backend = placesTaken() >= Math.round(places) ? null : pick(rpc);
            if (backend == null && rpc.callOuts.isEmpty()) break; // a repeat may be bound; the line goes on
            line.poll();
            if (backend != null) {
                send(rpc, backend);
            } else if (!backends.isEmpty() && backends.values().stream().noneMatch(rpc::mayGoTo)) {
                finish(rpc, 0); // nobody listed may take its repeat: given up, and so answered at once
            } else {
                bound.add(rpc);
            }
        }
        line.addAll(bound);
    }

    /** Places of the gateway in all: of many gateways each has far less than one a backend. */
    private int placesTaken() {
        int out = 0;
        for (Backend b : backends.values()) out += b.usable() ? b.out : 0;
        return out;
    }

    /**
     * Guards against queues that the gateways build together (overload, crawl, work nobody waits for):
     * answers in good time add places while all are in use; a late answer, or none, takes some away.
     */
    private void judge(double partOfSoftDl) {
        if (partOfSoftDl > SHRINK_ABOVE && placesTaken() + 1 >= places / 2) {
            places = Math.max(2, places - Math.max(SHRINK_BY, places / 100));
        } else if (partOfSoftDl < GROW_BELOW && placesTaken() + 1 >= Math.round(places)) {
            places = Math.min(MOST_PLACES * backends.size(), places + GROW_BY);
        }
    }

    private Backend pick(Rpc rpc) {
        Backend best = null;
        double bestScore = Double.MAX_VALUE;
        for (Backend b : backends.values()) {
            if (!rpc.mayGoTo(b) || rpc.isOutAt(b) || !b.hasPlace(rpc.row)) continue;
            boolean last = rpc.tried(b) || now() < b.shunsUntilUs.getOrDefault(rpc.customer.plan, NEVER);
            double score = b.score() * (1 + 0.02 * random.nextDouble()) * (last ? 1000 : 1);
            if (score < bestScore) {
                bestScore = score;
                best = b;
            }
        }
        return best;
    }

    private void send(Rpc rpc, Backend backend) {
        CallOut callOut = new CallOut();
        callOut.backend = backend;
        callOut.sentUs = now();
        callOut.number = rpc.callOuts.size();
        if (rpc.callOuts.isEmpty()) {
            repeats = Math.min(MOST_REPEATS, repeats + REPEATS_PER_RPC);
            rpc.customer.open++;
        }
        rpc.callOuts.add(callOut);
        rpc.stage = Stage.OUT;
        backend.out++;
        backend.sentCold(rpc.row);
        // Its time-out is when this gateway gives up: a backend need not begin what nobody waits for.
        host.callOut(rpc.id, backend.id, Math.max(1, rpc.giveUpAtUs - now()));
        at(now() + rpc.row.patienceUs(), () -> overdue(rpc, callOut));
    }

    // ---- Further call-outs and the end of an RPC ----

    /** Guards against what shows only as time (a hang, a vanished machine, a long pause, a crawl). */
    private void overdue(Rpc rpc, CallOut callOut) {
        if (!callOut.out || rpc.streaming) return; // a stream that has begun belongs to the client
        Backend backend = callOut.backend;
        boolean mute = backend.lastAnswerUs < callOut.sentUs;
        if (mute && ++backend.suspicions >= 2) backend.eject();
        // Only away from an ejected backend: elsewhere a long RPC is long too.
        if (backend.usable() || rpc.isDone() || rpc.outCount() != 1) return;
        if (settings.secondCopies()) {
            sendFurther(rpc, true);
        } else if (settings.mayCancel() && rpc.mayRepeat() && repeats >= 1) {
            host.cancelCallOut(rpc.id, callOut.number);
        }
    }

    /** Puts an RPC in line again, if its method, its call-outs, its time and the budget allow one more. */
    private boolean sendFurther(Rpc rpc, boolean mayHaveRun) {
        boolean pointless = rpc.softDlUs <= now() && rpc.row.method.lateUtility() <= 0;
        if (!rpc.mayRepeat() || pointless || mayHaveRun && repeats < 1) return false;
        if (mayHaveRun) repeats -= 1;
        line.add(rpc);
        return true;
    }

    private void outOfTime(Rpc rpc) {
        if (!rpc.isDone() && !rpc.streaming) {
            for (CallOut callOut : rpc.callOuts) {
                if (callOut.out) callOut.backend.tookTooLong(rpc.row, now() - callOut.sentUs);
            }
            finish(rpc, 0);
        }
    }

    /** The module's own final answer, at once: pushed back where a repeat is harmless, else aborted. */
    private void finish(Rpc rpc, long waitUs) {
        boolean harmless = rpc.isHarmless();
        rpc.close();
        if (harmless) {
            host.pushBack(rpc.id, settings.retryAfter() ? Math.min(waitUs, settings.mostRetryAfterUs()) : 0);
        } else {
            host.abort(rpc.id);
        }
    }

    // ---- The counter ----

    private static long stagger(long customer) {
        return Long.remainderUnsigned(customer * 0x9E3779B97F4A7C15L, EPOCH_US);
    }

    private long timeOutUs() {
        long most = Math.max(LEAST_TIME_OUT_US, settings.countWaitUs() * 3 / 4);
        return Math.min(most, Math.max(LEAST_TIME_OUT_US, (long) (answerUs + 4 * answerDevUs)));
    }

    /**
     * Guards a counter that is crowded, slow, refusing or dead: a call lost lowers the pace of calls, answers
     * raise it, as in TCP; it ends when calls are far fewer than it allows. Meanwhile the bucket lets in
     * what it can and calls go to what it would push back; each adds what its customer was let in since.
     */
    private boolean isPaced() { return pace < Double.MAX_VALUE; }

    private boolean counterMayBeAsked() {
        if (!settings.mayCount()) return false;
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
        } else if (tookUs - leastAnswerUs < settings.countWaitUs() / 6.0 && allowance < 2) {
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

    private void sweep() {
        told.values().removeIf(t -> now() > t.atUs + TOLD_US);
        customers.values().removeIf(Customer::isIdle);
        at(now() + SWEEP_US, this::sweep);
    }

    /** One customer (quota key): what is known of its count, and its leaky bucket for silent times. */
    private final class Customer {
        final long key;
        final Plan plan;
        final int first;            // its gateways are so many in a row from this one
        final int gateways;
        final Deque<Count> pending = new ArrayDeque<>(2);  // emptied by answers; each call gets one
        final Deque<Rpc> waiting = new ArrayDeque<>(1);    // emptied when a pending call is settled
        double credit = -1;         // as last read, less what was let in since
        long creditAtUs = NEVER;
        long makerUntilUs = NEVER;  // whose name was read as its maker left it: until when its add is awaited
        double owed;                // let in, but not in the count yet
        double bucket = -1;         // the split leaky bucket; below 0: none
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
            return pending.isEmpty() && open == 0 && now() - lastUsedUs > Math.max(LEAST_KEPT_US, 2 * fullUs)
                    && (bucket < 0 || bucketNow(1) >= depth(1));
        }

        boolean openIsFull() {
            return plan.openLimit() > 0 && open >= Math.ceil((double) plan.openLimit() / gateways);
        }

        double creditNow() {
            return Math.min(plan.burst(), credit + plan.rate() * (now() - creditAtUs) / 1e6);
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

        /** Names a time to come back: clients that are pushed back return as the refill could serve them. */
        long returnIn(long waitUs, double units) {
            long soonestUs = Math.max(now() + waitUs, nextReturnUs);
            nextReturnUs = plan.rate() > 0 ? soonestUs + (long) (units / plan.rate() * 1e6) : soonestUs;
            if (soonestUs > now() + settings.mostRetryAfterUs()) { // cannot be named: spread over what can
                nextReturnUs = soonestUs;
                return (long) (settings.mostRetryAfterUs() * (0.5 + 0.5 * random.nextDouble()));
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
            Count count = add((now() + stagger(key)) / EPOCH_US << CUSTOMER_BITS | key, rpc.weight + owed);
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
            host.addToCount(name, amount, EPOCH_US);
            return count;
        }

        Count nextOf(long name) {
            Count next = pending.stream().filter(c -> c.name == name).findFirst().orElse(null);
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
            double before = made ? rememberedCredit() : plan.burst();
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
                finish(rpc, returnIn(beyondForUs(rpc.units), rpc.units));
            }
            while (!waiting.isEmpty() && !awaitsVerdict(waiting.peek())) advance(waiting.poll());
        }

        /**
         * Guards against the excess of a new name (all that its epoch's age gives) added back by each gateway
         * that reads it before its maker's add: a debt of minutes. Only if it stands is it another's to add.
         */
        boolean awaitsMaker(boolean unmade) {
            if (!unmade) {
                makerUntilUs = NEVER;
            } else if (makerUntilUs == NEVER) { // a call and an add: the counter's limit each; then in turn
                makerUntilUs = now() + (long) (settings.countWaitUs() * (2 + 4 * random.nextDouble()));
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
            if (!isPaced() || !settings.mayTell() || credit >= 1) return;
            for (int i = 0; i < gateways; i++) {
                int gateway = (first + i) % settings.gateways();
                if (gateway != settings.ordinal()) {
                    ByteBuffer message = ByteBuffer.allocate(TOLD_BYTES).put((byte) (key >> 32));
                    host.tell(gateway, message.putInt((int) key).putFloat((float) credit).array());
                }
            }
        }

        /** What the store holds by this gateway's memory; a ceiling may not be staked on an unknown past. */
        double rememberedCredit() {
            if (creditAtUs != NEVER) return creditNow();
            double spare = plan.ceilingBurst() - plan.burst() + plan.ceilingSlack();
            return plan.ceilingRate() > 0 ? Math.max(0, Math.min(plan.burst(), spare)) : plan.burst();
        }

        /** Its slices are shares of an RPC: this gateway alone knows next to nothing of the customer. */
        boolean holdsNone() { return plan.burst() < gateways; }

        double depth(double units) { return Math.max(units, plan.burst() / gateways); }

        /** Its share of the rate, and of what the more gateways with less of the traffic leave unused. */
        double sliceRate() {
            double gain = 1 + MOST_UNUSED * Math.max(0, 1 - 4.0 / gateways);
            double most = plan.ceilingRate() > 0 ? plan.ceilingRate() / plan.rate() - 1 : gain;
            return Math.min(gain, most) * plan.rate() / gateways;
        }

        double bucketNow(double units) {
            double depth = depth(units); // one RPC at least: a smaller slice would let in none
            if (bucket < 0) { // full as the credit known, or in part of the cases; fewer where nobody reads
                double sinceStart = plan.rate() * (now() - startedUs) / 1e6 / plan.burst();
                boolean read = settings.mayTell() && now() - lastAnswerUs < OUTAGE_US; // beyond would be told
                double share = read ? 1 : Math.min(1, AT_ONCE * plan.burst() / gateways);
                double full = Math.max(AT_START, sinceStart) * share;
                bucket = depth * (creditAtUs != NEVER ? Math.max(0, Math.min(1, creditNow() / plan.burst()))
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
            if (bucket >= 0 && owed > 0) {
                owed = Math.min(owed, Math.max(0, plan.burst() / gateways - bucketNow(0)));
            }
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
                finish(rpc, returnIn((long) ((rpc.units - bucket) / sliceRate() * 1e6), rpc.units));
            }
        }
    }

    /** What another gateway has read of a customer. */
    private record Told(double credit, long atUs) {
    }

    /** One call on the counter. */
    private static final class Count {
        Customer customer;
        long name;
        double amount;
        long sentUs;
        Rpc rpc;          // that waits for it, if any
        double excess;    // that it adds back, and the room that should be left then
        double roomAfter;
        boolean settled;  // answered, or silent past the time-out
    }

    // ---- Backends ----

    private final class Backend {
        final Listed listed;
        final long id;
        final long startedUs;
        boolean ready;
        double taken;               // work answered here of late, in cores
        long takenAtUs;
        int out;
        double limit = Math.max(1, 2 * FIRST_PLACES / settings.gateways());
        double slowness = 1;        // its answers' time against its peers'
        long slownessAtUs = now();
        double errors;              // share of late call-outs that ended in an error
        int errorsInARow;
        int suspicions;
        long lastAnswerUs = now();
        long ejectedUntilUs = NEVER;
        long ejectUs = FIRST_EJECT_US;
        boolean onTrial;
        final Map<Plan, Long> shunsUntilUs = new HashMap<>(2); // a plan each
        double queue;
        long queueAtUs = NEVER;
        final Deque<long[]> sentWhileCold = new ArrayDeque<>(); // emptied as its window passes

        Backend(Listed entry) {
            listed = entry;
            id = entry.backend();
            startedUs = entry.startedAtUs();
        }

        boolean usable() { return ready && now() >= ejectedUntilUs; }

        boolean hasPlace(Row row) {
            return usable() && out < (onTrial ? 1 : Math.max(1, (int) limit)) && coldAllows(row);
        }

        double score() {
            double idleS = (now() - slownessAtUs) / 1e6;
            double slow = 1 + (slowness - 1) * Math.pow(0.5, idleS / 5);
            double waiting = now() - queueAtUs < 1_000_000 ? queue / 2 : 0;
            return (out + 1 + waiting) * slow / Math.pow(1 - Math.min(0.9, errors), 2);
        }

        /** This gateway's share of what a backend just started can take, counted as work in a window. */
        boolean coldAllows(Row row) {
            long ageUs = now() - startedUs;
            if (!isCold()) {
                sentWhileCold.clear();
                return true;
            }
            double ramp = (double) Math.max(0, ageUs) / settings.warmAfterUs();
            double part = settings.coldFrom() + (1 - settings.coldFrom()) * ramp;
            double windowUs = settings.coldWindowUs();
            double budgetUs = COLD_MARGIN * settings.coldFactor() * part * windowUs * warmPeersTake()
                    / settings.gateways();
            double costUs = row.leastUs;
            double spreadUs = windowUs * Math.max(1, costUs / budgetUs);
            while (!sentWhileCold.isEmpty() && sentWhileCold.peek()[0] < now() - spreadUs) {
                sentWhileCold.poll();
            }
            double spentUs = sentWhileCold.stream().mapToLong(s -> s[1]).sum();
            return sentWhileCold.isEmpty() ? ageUs >= spreadUs * settings.ordinal() / settings.gateways()
                    : spentUs + costUs <= budgetUs;
        }

        void sentCold(Row row) {
            if (isCold()) sentWhileCold.add(new long[] {now(), (long) row.leastUs});
        }

        /** Cores' worth of work that a warm backend of this size is seen to take; never under one core. */
        double warmPeersTake() {
            double taken = 0;
            double size = 0;
            for (Backend b : backends.values()) {
                if (b.ready && !b.isCold() && now() >= b.ejectedUntilUs) {
                    taken += b.takenNow();
                    size += settings.weightIsSize() ? b.listed.weight() : 1;
                }
            }
            double mySize = settings.weightIsSize() ? listed.weight() : 1;
            return size <= 0 ? 1 : Math.max(1, taken / size * mySize * settings.gateways());
        }

        double takenNow() {
            return taken * Math.exp((takenAtUs - now()) / TAKEN_OVER_US);
        }

        boolean isCold() { return startedUs != 0 && now() - startedUs < settings.warmAfterUs(); }

        /** Never ejects all: at least half of the ready ones stay. */
        void eject() {
            long away = backends.values().stream().filter(b -> b.ready && now() < b.ejectedUntilUs).count();
            long ready = backends.values().stream().filter(b -> b.ready).count();
            if (!usable() || (away + 1) * 2 > ready) return;
            ejectedUntilUs = now() + ejectUs;
            ejectUs = Math.min(LAST_EJECT_US, ejectUs * 2);
            onTrial = true;
            suspicions = 1;
            limit = 1;
            at(ejectedUntilUs, Policy.this::pump);
        }

        void answered(Row row, long tookUs) {
            lastAnswerUs = now();
            suspicions = 0;
            errorsInARow = 0;
            taken = takenNow() + row.leastUs / TAKEN_OVER_US;
            takenAtUs = now();
            errors *= 0.85;
            if (onTrial && tookUs < 3 * row.meanUs) onTrial = false;
            if (!onTrial && errors < 0.05 && slowness < 1.5) ejectUs = FIRST_EJECT_US;
            compare(row, tookUs);
            double part = (double) tookUs / row.method.softDeadlineUs();
            if (part > SHRINK_ABOVE) {
                limit = Math.max(1, limit * 0.9);
            } else if (part < GROW_BELOW && out + 1 >= (int) limit) {
                limit = Math.min(MOST_PLACES, limit + 0.1 / limit);
            }
            judge(part);
        }

        /** An answer that nobody could wait for says as much as a late one: places are too many. */
        void tookTooLong(Row row, long soFarUs) {
            limit = Math.max(1, limit * 0.9);
            if (soFarUs > row.meanUs) {
                judge(1);
                row.learn(soFarUs);
                compare(row, soFarUs);
            }
        }

        void compare(Row row, long tookUs) {
            slowness += 0.12 * (Math.min(8, tookUs / row.meanUs) - slowness);
            slownessAtUs = now();
        }

        /**
         * Guards against a backend that turns one plan away though it has room: one that is full says so at
         * once. Harm: a backend that is full and slow to say so keeps its places.
         */
        void full(Row row, Plan plan, long tookUs) {
            if (tookUs < SLOW_FULL * row.method.softDeadlineUs()) {
                failing(true);
            } else {
                lastAnswerUs = now();
                shunsUntilUs.put(plan, now() + LAST_EJECT_US);
            }
        }

        /** Fast failures look like free places: errors take places away, and many in a row eject. */
        void failing(boolean answered) {
            if (answered) lastAnswerUs = now();
            errors += 0.15 * (1 - errors);
            limit = Math.max(1, limit * 0.8);
            if (++errorsInARow >= 3 || errors > 0.5 || onTrial) eject();
        }

        void reported(float[] report) {
            if (queueField >= 0 && queueField < report.length) {
                queue = report[queueField];
                queueAtUs = now();
            }
        }
    }

    /** What is kept by method: its settings and what its answers usually take. */
    private final class Row {
        final Method method;
        double meanUs;
        double devUs;
        int seen;
        double leastUs;             // the least mean of late: what an answer takes where nothing waits
        final long[] leftSeen = new long[8];  // how long clients will still wait, and how often seen
        final int[] leftCount = new int[8];

        Row(Method method) {
            this.method = method;
            this.meanUs = method.softDeadlineUs() / 8.0;
            this.devUs = meanUs / 2;
            this.leastUs = meanUs;
        }

        /**
         * How long the client has been asking. First tries have the same time left, the most common one; a
         * try with another has what remains of its client's whole time. Misra and Gries' count finds it.
         */
        long ageUs(long leftUs) {
            int common = 0;
            int mine = -1;
            int free = -1;
            for (int i = 0; i < leftSeen.length; i++) {
                common = leftCount[i] > leftCount[common] ? i : common;
                mine = leftCount[i] > 0 && Math.abs(leftSeen[i] - leftUs) < AGE_NOISE_US ? i : mine;
                free = leftCount[i] == 0 ? i : free;
            }
            if (mine < 0 && free >= 0) leftSeen[mine = free] = leftUs;
            if (mine >= 0) leftCount[mine]++;
            for (int i = 0; i < leftSeen.length && mine < 0; i++) leftCount[i]--;
            boolean first = mine >= 0 && leftCount[mine] >= leftCount[common];
            return first ? 0 : Math.max(0, method.deadlineUs() - leftUs);
        }

        void learn(long tookUs) {
            double share = Math.max(0.01, 1.0 / (++seen + 4));
            double capped = Math.min(tookUs, method.softDeadlineUs());
            devUs += share * (Math.abs(capped - meanUs) - devUs);
            meanUs += share * (capped - meanUs);
            leastUs = Math.min(leastUs * 1.0002, meanUs);
        }

        long usualUs() { return (long) Math.min(meanUs + 3 * devUs, method.softDeadlineUs() * 0.7); }

        long patienceUs() {
            return (long) Math.max(2 * meanUs, Math.min(meanUs + 4 * devUs, method.softDeadlineUs() * 0.7));
        }
    }

    private static final class CallOut {
        Backend backend;
        long sentUs;
        int number;
        boolean out = true;
        boolean neverRan;
    }

    private enum Stage { NEW, COUNTING, LINE, OUT, DONE }

    /** The handle of one RPC. */
    public final class Rpc {
        private final long id;
        private final Row row;
        private final Customer customer;
        private final double units;
        private double weight;      // as counted for it
        private final long softDlUs;
        private final long startByUs; // later it is not likely to meet its soft deadline
        private final long giveUpAtUs;
        private final long order = orders++;
        private final List<CallOut> callOuts = new ArrayList<>(1);
        private Stage stage = Stage.NEW;
        private boolean admitted;
        private boolean streaming;

        private Rpc(long id, Row row, Customer customer, double units, long leftUs) {
            this.id = id;
            this.row = row;
            this.customer = customer;
            this.units = units;
            long marginUs = 2 * settings.tickUs() + 1_000;
            long dlUs = now() + leftUs;
            this.softDlUs = Math.min(dlUs, now() + row.method.softDeadlineUs() - row.ageUs(leftUs));
            this.startByUs = softDlUs - row.usualUs();
            this.giveUpAtUs = (row.method.lateUtility() > 0 ? dlUs : softDlUs) - marginUs;
        }

        /** A call-out has ended; over tells that the client has its answer, by this or earlier. */
        public void callOutEnded(int number, Outcome outcome, long tookUs, boolean over, int settled,
                                 float[] report) {
            if (number >= callOuts.size() || !callOuts.get(number).out) return;
            CallOut callOut = callOuts.get(number);
            Backend backend = callOut.backend;
            callOut.out = false;
            callOut.neverRan = outcome == Outcome.FULL || outcome == Outcome.CONNECT_FAILED
                    || outcome == Outcome.MOOT;
            backend.out--;
            if (report.length > 0) backend.reported(report);
            switch (outcome) {
                case OK -> {
                    row.learn(tookUs);
                    backend.answered(row, tookUs);
                }
                case FULL -> backend.full(row, customer.plan, tookUs);
                case ERROR -> backend.failing(true);
                case CONNECT_FAILED, RESET -> backend.failing(false);
                case TIMED_OUT -> backend.tookTooLong(row, tookUs);
                default -> { }
            }
            if (settled > 0 && settings.settles() && admitted && settled != units) {
                customer.owed += settled - units;
            }
            if (!isDone() && over) {
                close();
            } else if (!isDone() && outCount() == 0 && !line.contains(this)
                    && (outcome == Outcome.MOOT || outcome == Outcome.TIMED_OUT || streaming
                    || !sendFurther(this, !callOut.neverRan))) {
                finish(this, 0);
            }
            pump();
            arm();
        }

        public void streamStarted(int number) { streaming = true; }

        public void clientLeft() {
            if (isDone()) return;
            close();
            pump();
            arm();
        }

        /** True once nothing more will come of this RPC. */
        public boolean over() { return isDone() && outCount() == 0; }

        private boolean isDone() { return stage == Stage.DONE; }

        private void admit() {
            admitted = true;
            stage = Stage.LINE;
            advance(this);
        }

        /** The RPC has its final answer; units that it took and never used go back. */
        private void close() {
            if (stage == Stage.LINE || stage == Stage.OUT) line.remove(this);
            customer.waiting.remove(this);
            if (callOuts.isEmpty() && admitted) {
                customer.owed -= weight;
            } else if (!callOuts.isEmpty()) {
                customer.open--;
            }
            stage = Stage.DONE;
            for (CallOut c : callOuts) {
                if (c.out && settings.mayCancel()) host.cancelCallOut(id, c.number);
            }
        }

        private int outCount() {
            int count = 0;
            for (CallOut c : callOuts) count += c.out ? 1 : 0;
            return count;
        }

        private CallOut firstThatMayHaveRun() {
            return callOuts.stream().filter(c -> !c.neverRan).findFirst().orElse(null);
        }

        private boolean isTooLate() { return row.method.lateUtility() <= 0 && now() > startByUs; }

        /** A pushback tells the client that a repeat is harmless: so only where it is. */
        private boolean isHarmless() {
            Method m = row.method;
            return firstThatMayHaveRun() == null || m.repeat() == Method.Repeat.IDEMPOTENT
                    || m.repeat() == Method.Repeat.DEDUPLICATED && m.group() == Method.Group.ALL;
        }

        private boolean mayRepeat() {
            return callOuts.size() < settings.mostCallOuts()
                    && (firstThatMayHaveRun() == null || row.method.repeat() != Method.Repeat.NON_IDEMPOTENT);
        }

        private boolean mayGoTo(Backend b) {
            CallOut first = firstThatMayHaveRun();
            if (first == null || row.method.repeat() == Method.Repeat.IDEMPOTENT) return true;
            return row.method.repeat() == Method.Repeat.DEDUPLICATED
                    && now() < first.sentUs + row.method.windowUs() - 2 * settings.tickUs()
                    && switch (row.method.group()) {
                        case ALL -> true;
                        case ZONE -> b.listed.zone() == first.backend.listed.zone();
                        case CELL -> b.listed.cell() == first.backend.listed.cell();
                    };
        }

        private boolean tried(Backend b) { return callOuts.stream().anyMatch(c -> c.backend.id == b.id); }

        private boolean isOutAt(Backend b) {
            return callOuts.stream().anyMatch(c -> c.out && c.backend.id == b.id);
        }
    }

    // ---- Time ----

    private record Timer(long atUs, long order, Runnable what) {
    }

    private long now() { return host.nowUs(); }

    private void at(long atUs, Runnable what) { timers.add(new Timer(atUs, orders++, what)); }

    /** One wake-up is asked of the front door at a time: that of the earliest timer. */
    private void arm() {
        if (!timers.isEmpty() && timers.peek().atUs < wakeAtUs) {
            wakeAtUs = timers.peek().atUs;
            host.wakeIn(Math.max(1, wakeAtUs - now()));
        }
    }
}
