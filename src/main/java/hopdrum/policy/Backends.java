package hopdrum.policy;

import hopdrum.host.Endpoint;
import hopdrum.host.FrequentValueTracker;
import hopdrum.host.Method;
import hopdrum.host.Plan;
import hopdrum.policy.Policy.Rpc;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** The list of backends: places, health, what a cold one can take, and which is picked. */
final class Backends extends Part {
    private static final double FIRST_PLACES = 6; // at a backend, of all gateways together
    private static final double MOST_PLACES = 64; // at a backend, of one gateway
    private static final double GROW_BY = 0.1; // places for an answer in good time, if all are used
    private static final double SHRINK_BY = 0.3; // for an answer that came late or not at all
    private static final double GROW_BELOW = 0.25; // of the soft deadline: a place more is harmless
    private static final double SHRINK_ABOVE = 0.5; // of the soft deadline: places are too many
    private static final long FIRST_EJECT_US = 1_000_000;
    private static final long LAST_EJECT_US = 8_000_000;
    private static final double SLOW_FULL = 0.05; // of the soft deadline: a full backend says so sooner
    private static final double COLD_MARGIN = 0.5;
    private static final long AGE_NOISE_US = 20_000; // two first tries differ by less, on their way here
    private static final double TAKEN_OVER_US = 3e6;

    private final Policy policy;
    private final int queueField;
    private final Map<Long, Backend> backends = new LinkedHashMap<>(); // emptied by list news
    final PriorityQueue<Rpc> line = new PriorityQueue<>( // emptied by pump() and finish()
            Comparator.comparingLong((Rpc r) -> r.startByUs).thenComparingLong(r -> r.order));
    private double places; // what this gateway may have out

    Backends(Policy policy) {
        super(policy);
        this.policy = policy;
        this.queueField = settings.reportFields().indexOf("depth");
    }

    void listed(Endpoint.UpdateKind form, List<Endpoint> entries) {
        int before = backends.size();
        if (form != Endpoint.UpdateKind.INCREMENTAL) backends.values().forEach(b -> b.ready = false);
        for (Endpoint entry : entries) {
            Backend backend = backends.computeIfAbsent(entry.backend(), id -> new Backend(entry));
            if (backend.listed.startedAtUs() != entry.startedAtUs()) {
                backend = new Backend(entry);
                backends.put(entry.backend(), backend);
            }
            backend.ready = entry.state() == Endpoint.State.READY;
        }
        backends.values().removeIf(b -> !b.ready);
        double perBackend = before == 0 ? FIRST_PLACES / settings.gateways() : places / before;
        places = Math.max(2, perBackend * backends.size()); // a fleet half as large bears half as much
    }

    boolean hasPlace() {
        return placesTaken() < Math.round(places);
    }

    /** Nobody listed may take its repeat. */
    boolean noneMayTake(Rpc rpc) {
        return !backends.isEmpty() && backends.values().stream().noneMatch(rpc::mayGoTo);
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

    Backend pick(Rpc rpc) {
        Backend best = null;
        double bestScore = Double.MAX_VALUE;
        for (Backend b : backends.values()) {
            if (!rpc.mayGoTo(b) || rpc.isOutAt(b) || !b.hasPlace(rpc.row)) continue;
            boolean last = rpc.tried(b) || now() < b.shunsUntilUs.getOrDefault(rpc.customer.plan, NEVER);
            double score = b.score() * (1 + 0.02 * random.nextDouble());
            score += b.farUs() / rpc.row.leastUs; // near first, farther as the line there grows
            score *= last || rpc.wouldBeLate(b.farUs()) ? 1000 : 1;
            if (score < bestScore) {
                bestScore = score;
                best = b;
            }
        }
        return best;
    }

    final class Backend {
        final Endpoint listed;
        final long knownAtUs = now(); // later than its start, where the list is late or this gateway has just started
        boolean ready;
        double taken; // work answered here of late, in cores
        long takenAtUs;
        int out;
        double limit = Math.max(1, 2 * FIRST_PLACES / settings.gateways());
        double slowness = 1; // its answers' time against its peers'
        long slownessAtUs = now();
        double errors; // share of late attempts that ended in an error
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

        Backend(Endpoint entry) {
            listed = entry;
        }

        /** Of one backend, which may have started anew between. */
        boolean isSameAs(Backend other) {
            return listed.backend() == other.listed.backend();
        }

        /** What the way to it and back takes; 0 without a map. Its answers' time is judged without it. */
        long farUs() {
            return host.zoneLatencies() == null ? 0 : host.zoneLatencies().roundTripUs(listed.zone());
        }

        boolean usable() {
            return ready && now() >= ejectedUntilUs;
        }

        boolean hasPlace(Row row) {
            return usable() && out < (onTrial ? 1 : Math.max(1, (int) limit)) && coldAllows(row);
        }

        double score() {
            double idleS = (now() - slownessAtUs) / 1e6;
            double slow = 1 + (slowness - 1) * Math.pow(0.5, idleS / 5);
            double waiting = now() - queueAtUs < 1_000_000 ? queue / 2 : 0;
            return (out + 1 + waiting) * slow / Math.pow(1 - Math.min(0.9, errors), 2);
        }

        /**
         * This gateway's share of what a backend just started can take, counted as work in a window. Guards against the
         * sum of all gateways: from when they know of it, each has its first turn by its number in the cycle that fills a share.
         */
        boolean coldAllows(Row row) {
            long ageUs = now() - listed.startedAtUs();
            if (!isCold()) {
                sentWhileCold.clear();
                return true;
            }
            double part = settings.slowStartInitialFraction()
                    + (1 - settings.slowStartInitialFraction()) * Math.max(0, ageUs) / settings.slowStartDurationUs();
            double windowUs = settings.overloadWindowUs();
            double budgetUs =
                    COLD_MARGIN * settings.overloadFactor() * part * windowUs * warmPeersTake() / settings.gateways();
            double cycleUs = windowUs * Math.max(1, row.leastUs / budgetUs);
            while (!sentWhileCold.isEmpty() && sentWhileCold.peek()[0] < now() - cycleUs) sentWhileCold.poll();
            if (!sentWhileCold.isEmpty()) {
                return sentWhileCold.stream().mapToLong(s -> s[1]).sum() + row.leastUs <= budgetUs;
            }
            return now() >= knownAtUs + cycleUs * settings.ordinal() / settings.gateways();
        }

        void sentCold(Row row) {
            if (isCold()) sentWhileCold.add(new long[] {now(), (long) row.leastUs});
        }

        /** Cores' worth of work that a warm backend of this size is seen to take; never under one core. */
        double warmPeersTake() {
            double taken = 0;
            double size = 0;
            for (Backend b : backends.values()) {
                if (b.usable() && !b.isCold()) {
                    taken += b.takenNow();
                    size += settings.weightIsCapacity() ? b.listed.weight() : 1;
                }
            }
            double mySize = settings.weightIsCapacity() ? listed.weight() : 1;
            return size <= 0 ? 1 : Math.max(1, taken / size * mySize * settings.gateways());
        }

        double takenNow() {
            return taken * Math.exp((takenAtUs - now()) / TAKEN_OVER_US);
        }

        boolean isCold() {
            return listed.startedAtUs() != 0 && now() - listed.startedAtUs() < settings.slowStartDurationUs();
        }

        /** Never ejects all: at least half of the ready ones stay. */
        void eject() {
            long away = backends.values().stream().filter(b -> !b.usable()).count();
            if (!usable() || (away + 1) * 2 > backends.size()) return;
            ejectedUntilUs = now() + ejectUs;
            ejectUs = Math.min(LAST_EJECT_US, ejectUs * 2);
            onTrial = true;
            suspicions = 1;
            limit = 1;
            at(ejectedUntilUs, policy::pump);
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
    static final class Row {
        final Method method;
        double meanUs;
        double devUs;
        int seen;
        double leastUs; // the least mean of late: what an answer takes where nothing waits
        final FrequentValueTracker leftAtFirst =
                new FrequentValueTracker(AGE_NOISE_US); // how long clients will still wait

        Row(Method method) {
            this.method = method;
            this.meanUs = method.softDeadlineUs() / 8.0;
            this.devUs = meanUs / 2;
            this.leastUs = meanUs;
        }

        /**
         * How long the client has been asking. First tries have the same time left, the most common one; a
         * try with another has what remains of its client's whole time.
         */
        long ageUs(long leftUs) {
            return leftAtFirst.recordIsMostFrequent(leftUs) ? 0 : Math.max(0, method.deadlineUs() - leftUs);
        }

        void learn(long tookUs) {
            double share = Math.max(0.01, 1.0 / (++seen + 4));
            double capped = Math.min(tookUs, method.softDeadlineUs());
            devUs += share * (Math.abs(capped - meanUs) - devUs);
            meanUs += share * (capped - meanUs);
            leastUs = Math.min(leastUs * 1.0002, meanUs);
        }

        long usualUs() {
            return (long) Math.min(meanUs + 3 * devUs, method.softDeadlineUs() * 0.7);
        }

        long patienceUs() {
            return (long) Math.max(2 * meanUs, Math.min(meanUs + 4 * devUs, method.softDeadlineUs() * 0.7));
        }
    }
}
