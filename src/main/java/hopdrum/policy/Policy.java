package hopdrum.policy;

import hopdrum.host.Endpoint;
import hopdrum.host.Host;
import hopdrum.host.Method;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import hopdrum.host.Settings;
import hopdrum.policy.Backends.Backend;
import hopdrum.policy.Backends.Row;
import hopdrum.policy.Quota.Customer;
import java.util.ArrayList;
import java.util.List;

/**
 * All decisions of one gateway. A front door makes one Policy for each start, for one thread: take() a new
 * RPC and have its handle; later news of that RPC is a call on the handle, other news comes by counted(),
 * listed(), heard() and wake(). The Policy answers by calls on Host while it is being called.
 * Read advance() first: the ordinary path of an RPC from top to bottom. Times are microseconds.
 * Nothing here knows a deployment, a method or a customer by name.
 */
public final class Policy extends Part {
    private static final double REPEATS_PER_RPC = 0.1;
    private static final double MOST_REPEATS = 15;
    private static final long SWEEP_US = 2_000_000;

    private final Quota quota;
    private final List<Backends> tiers = new ArrayList<>(); // the backends, then each partner's front doors
    private final Row[] rows;
    private long orders;
    private double repeats = MOST_REPEATS;

    public Policy(Settings settings, long seed, Host host) {
        super(settings, seed, host);
        this.quota = new Quota(this);
        this.rows = settings.methods().stream().map(Row::new).toArray(Row[]::new);
        if (settings.pollsEndpointList()) host.pollEndpointList();
        at(now() + SWEEP_US, this::sweep);
        timers.arm();
    }

    // ---- What the front door tells ----

    /** A client's RPC has come in; exactly one final answer is owed from here on. */
    public Rpc requestReceived(
            long id, int method, long customer, int plan, double units, int first, int gateways, long leftUs) {
        Rpc rpc = new Rpc(id, rows[method], quota.customer(customer, plan, first, gateways), units, leftUs);
        at(rpc.giveUpAtUs, () -> outOfTime(rpc));
        advance(rpc);
        timers.arm();
        return rpc;
    }

    public void wakeUp() {
        if (!timers.runDue()) return;
        pump();
        timers.arm();
    }

    public void counterAnswered(long name, Outcome outcome, double total, long tookUs) {
        if (!quota.counted(name, outcome, total, tookUs)) return;
        pump();
        timers.arm();
    }

    /** Another gateway has read a customer's count and found no room for one more RPC. */
    public void gossipReceived(byte[] message) {
        quota.heard(message);
    }

    /** Tier 0 is the list of backends; others are partners, whose front doors count what they are passed. */
    public void endpointsUpdated(int tier, Endpoint.UpdateKind form, List<Endpoint> entries) {
        if (form == Endpoint.UpdateKind.NONE) {
            at(now() + 1_000_000, host::pollEndpointList);
        } else {
            tier(tier).listed(form, entries);
            pump();
        }
        timers.arm();
    }

    private Backends tier(int number) {
        while (tiers.size() <= number) tiers.add(new Backends(this));
        return tiers.get(number);
    }

    private void sweep() {
        quota.sweep();
        at(now() + SWEEP_US, this::sweep);
    }

    // ---- The ordinary path ----

    void advance(Rpc rpc) {
        Customer customer = rpc.customer;
        Plan plan = customer.plan;
        if (rpc.stage == Stage.NEW) {
            // 1. Beyond quota for certain: more than its share open, or a reading not yet refilled says so.
            customer.lastUsedUs = now();
            long owner = host.ownerTier(rpc.id, customer.key);
            long waitUs = owner > 0 ? 0 : Math.max(-owner, customer.beyondForUs(rpc.units));
            boolean late = rpc.isTooLate(); // a client's repeat whose soft deadline has passed takes no units
            if (late || customer.openIsFull() || waitUs > 0) {
                finish(rpc, late ? 0 : customer.returnIn(waitUs, rpc.units));
                return;
            }
            rpc.tier = tier((int) owner);
            boolean bucketFirst =
                    quota.callsAreScarce() && !customer.holdsNone() && customer.bucketNow(rpc.units) >= rpc.units;
            // 2. Ask: one call on the customer's count adds the units; its answer comes to answered().
            if (plan.rate() <= 0 || owner > 0) { // a partner's customer is counted there, once
                rpc.stage = Stage.LINE;
            } else if (!bucketFirst && customer.awaitsVerdict(rpc)) {
                customer.waiting.add(rpc); // the credit known is spoken for by calls still out
                return;
            } else if (!bucketFirst && quota.counterMayBeAsked()) {
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
            rpc.tier.line.add(rpc);
            at(rpc.startByUs + 1, this::pump);
            pump();
        }
        // 4. What comes back is a call on the handle: Rpc.attemptEnded().
    }

    /** Gives free places to the lines, the RPC that must start soonest first. */
    void pump() {
        for (Backends tier : tiers) pump(tier);
    }

    private void pump(Backends tier) {
        List<Rpc> bound = new ArrayList<>(0);
        while (!tier.line.isEmpty()) {
            Rpc rpc = tier.line.peek();
            // Guards against a line in which those who can only be late go first, and make all behind them late too.
            boolean late = rpc.isTooLate() || (now() > rpc.startByUs && tier.line.size() > 1);
            if (rpc.attempts.isEmpty() && late) {
                tier.line.poll();
                finish(rpc, rpc.customer.returnIn(rpc.row.usualUs(), rpc.units)); // too late
                continue;
            }
            Backend backend = tier.hasPlace() ? tier.pick(rpc) : null;
            if (backend == null && rpc.attempts.isEmpty()) break; // a repeat may be bound; the line goes on
            tier.line.poll();
            if (backend != null) {
                send(rpc, backend);
            } else if (tier.noneMayTake(rpc)) {
                finish(rpc, 0); // given up, and so answered at once
            } else {
                bound.add(rpc);
            }
        }
        tier.line.addAll(bound);
    }

    private void send(Rpc rpc, Backend backend) {
        Attempt attempt = new Attempt();
        attempt.backend = backend;
        attempt.sentUs = now();
        attempt.number = rpc.attempts.size();
        if (rpc.attempts.isEmpty()) {
            repeats = Math.min(MOST_REPEATS, repeats + REPEATS_PER_RPC);
            rpc.customer.open++;
        }
        rpc.attempts.add(attempt);
        rpc.out++;
        rpc.stage = Stage.OUT;
        backend.out++;
        backend.sentCold(rpc.row);
        // Its time-out is when this gateway gives up: a backend need not begin what nobody waits for.
        long timeOutUs = Math.max(1, rpc.giveUpAtUs - now());
        host.startAttempt(rpc.id, backend.listed.backend(), timeOutUs, Math.min(timeOutUs, rpc.repeatByUs() - now()));
        at(now() + rpc.row.patienceUs() + backend.farUs(), () -> overdue(rpc, attempt));
    }

    // ---- Further attempts and the end of an RPC ----

    /** Guards against what shows only as time (a hang, a vanished machine, a long pause, a crawl). */
    private void overdue(Rpc rpc, Attempt attempt) {
        if (!attempt.out || rpc.streaming) return; // a stream that has begun belongs to the client
        Backend backend = attempt.backend;
        boolean mute = backend.lastAnswerUs < attempt.sentUs;
        if (mute && ++backend.suspicions >= 2) backend.eject();
        // Only away from an ejected backend: elsewhere a long RPC is long too.
        if (backend.usable() || rpc.isDone() || rpc.out != 1) return;
        if (settings.hedgingAllowed()) {
            sendFurther(rpc, true);
        } else if (settings.cancellationAllowed() && rpc.mayRepeat() && repeats >= 1) {
            host.cancelAttempt(rpc.id, attempt.number);
        }
    }

    /** Puts an RPC in line again, if its method, its attempts, its time and the budget allow one more. */
    private boolean sendFurther(Rpc rpc, boolean mayHaveRun) {
        boolean pointless = rpc.softDlUs <= now() && rpc.row.method.lateUtility() <= 0;
        if (!rpc.mayRepeat() || pointless || (mayHaveRun && repeats < 1)) return false;
        if (mayHaveRun) repeats -= 1;
        rpc.tier.line.add(rpc);
        return true;
    }

    private void outOfTime(Rpc rpc) {
        if (!rpc.isDone() && !rpc.streaming) {
            for (Attempt attempt : rpc.attempts) {
                if (attempt.out) attempt.backend.tookTooLong(rpc.row, now() - attempt.sentUs);
            }
            finish(rpc, 0);
        }
    }

    /** The module's own final answer, at once: refused where a repeat is harmless, else aborted. */
    void finish(Rpc rpc, long waitUs) {
        boolean harmless = rpc.isHarmless();
        rpc.close();
        if (harmless) {
            host.reject(rpc.id, settings.retryAfterAllowed() ? Math.min(waitUs, settings.maxRetryAfterUs()) : 0);
        } else {
            host.abort(rpc.id);
        }
    }

    // ---- The handle and its attempts ----

    static final class Attempt {
        Backend backend;
        long sentUs;
        int number;
        boolean out = true;
        boolean neverRan;
    }

    enum Stage {
        NEW,
        COUNTING,
        LINE,
        OUT,
        DONE
    }

    /** The handle of one RPC. */
    public final class Rpc {
        private final long id;
        final Row row;
        final Customer customer;
        final double units;
        double weight; // as counted for it
        private final long softDlUs;
        final long startByUs; // later it is not likely to meet its soft deadline
        private final long giveUpAtUs;
        final long order = orders++;
        private final List<Attempt> attempts = new ArrayList<>(1);
        private int out; // of them
        Backends tier; // whose backends may take it; before it is in line, nobody's
        Stage stage = Stage.NEW;
        boolean admitted;
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

        /** An attempt has ended; over tells that the client has its answer, by this or earlier. */
        public void attemptEnded(int number, Outcome outcome, long wholeUs, boolean over, int settled, float[] report) {
            if (number >= attempts.size() || !attempts.get(number).out) return;
            Attempt attempt = attempts.get(number);
            Backend backend = attempt.backend;
            long tookUs = Math.max(1, wholeUs - backend.farUs());
            attempt.out = false;
            out--;
            attempt.neverRan = outcome == Outcome.AT_CAPACITY
                    || outcome == Outcome.CONNECT_FAILED
                    || outcome == Outcome.INVALID_REQUEST;
            backend.out--;
            if (report.length > 0) backend.reported(report);
            switch (outcome) {
                case OK -> {
                    row.learn(tookUs);
                    backend.answered(row, tookUs);
                }
                case AT_CAPACITY -> backend.full(row, customer.plan, tookUs);
                case ERROR -> backend.failing(true);
                case CONNECT_FAILED, RESET -> backend.failing(false);
                case TIMED_OUT -> backend.tookTooLong(row, tookUs);
                default -> {}
            }
            if (settled > 0 && settings.settlesUnits() && admitted && settled != units) {
                customer.owed += settled - units;
            }
            if (!isDone() && over) {
                close();
            } else if (!isDone()
                    && out == 0
                    && !tier.line.contains(this)
                    && (outcome == Outcome.INVALID_REQUEST
                            || outcome == Outcome.TIMED_OUT
                            || streaming
                            || !sendFurther(this, !attempt.neverRan))) {
                finish(this, 0);
            }
            pump();
            timers.arm();
        }

        public void streamStarted(int number) {
            streaming = true;
        }

        public void clientLeft() {
            if (isDone()) return;
            close();
            pump();
            timers.arm();
        }

        /** True once nothing more will come of this RPC. */
        public boolean over() {
            return isDone() && out == 0;
        }

        private boolean isDone() {
            return stage == Stage.DONE;
        }

        void admit() {
            admitted = true;
            stage = Stage.LINE;
            advance(this);
        }

        /** The RPC has its final answer; units that it took and never used go back. */
        private void close() {
            if (stage == Stage.LINE || stage == Stage.OUT) tier.line.remove(this);
            customer.waiting.remove(this);
            if (attempts.isEmpty() && admitted) {
                customer.owed -= weight;
            } else if (!attempts.isEmpty()) {
                customer.open--;
            }
            stage = Stage.DONE;
            for (Attempt c : attempts) {
                if (c.out && settings.cancellationAllowed()) host.cancelAttempt(id, c.number);
            }
        }

        private Attempt firstThatMayHaveRun() {
            return attempts.stream().filter(c -> !c.neverRan).findFirst().orElse(null);
        }

        boolean wouldBeLate(long farUs) {
            return farUs > 0 && now() + farUs + row.usualUs() > softDlUs;
        }

        private boolean isTooLate() {
            return row.method.lateUtility() <= 0 && now() > startByUs;
        }

        /** A refusal tells the client that a repeat is harmless: so only where it is. */
        private boolean isHarmless() {
            Method m = row.method;
            return firstThatMayHaveRun() == null
                    || m.retrySafety() == Method.RetrySafety.IDEMPOTENT
                    || (m.retrySafety() == Method.RetrySafety.DEDUPLICATED
                            && m.deduplicationScope() == Method.DeduplicationScope.ALL);
        }

        private boolean mayRepeat() {
            return attempts.size() < settings.maxAttempts()
                    && (firstThatMayHaveRun() == null // a partner repeats by itself, and counts each
                            || (tier == tiers.get(0) && row.method.retrySafety() != Method.RetrySafety.NON_IDEMPOTENT));
        }

        /** Backends may run it anew after this: a further attempt has to begin before, however late its connection is. */
        private long repeatByUs() {
            Attempt first = firstThatMayHaveRun();
            boolean windowed = first != null && row.method.retrySafety() == Method.RetrySafety.DEDUPLICATED;
            return windowed
                    ? first.sentUs + row.method.deduplicationWindowUs() - 2 * settings.tickUs()
                    : Long.MAX_VALUE;
        }

        boolean mayGoTo(Backend b) {
            Attempt first = firstThatMayHaveRun();
            if (first == null || row.method.retrySafety() == Method.RetrySafety.IDEMPOTENT) return true;
            return row.method.retrySafety() == Method.RetrySafety.DEDUPLICATED
                    && now() < repeatByUs()
                    && switch (row.method.deduplicationScope()) {
                        case ALL -> true;
                        case ZONE -> b.listed.zone() == first.backend.listed.zone();
                        case CELL -> b.listed.cell() == first.backend.listed.cell();
                    };
        }

        boolean tried(Backend b) {
            return attempts.stream().anyMatch(c -> c.backend.isSameAs(b));
        }

        boolean isOutAt(Backend b) {
            return attempts.stream().anyMatch(c -> c.out && c.backend.isSameAs(b));
        }
    }
}
