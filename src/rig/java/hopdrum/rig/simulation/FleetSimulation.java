package hopdrum.rig.simulation;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import hopdrum.fleet.shards.AgreementTerms;
import hopdrum.fleet.shards.ShardCoordinator;
import hopdrum.fleet.store.Store.DurableState;
import hopdrum.fleet.view.FleetTiming;
import hopdrum.fleet.view.Membership;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongBiFunction;
import java.util.function.ToLongFunction;

/**
 * A fleet of many members in virtual time, in one thread: the product's membership on a simulated network and simulated
 * disks. The same seed and calls give the same run. At each step the {@link #violations() invariants} are checked. Times
 * are microseconds of the virtual clock. Not thread-safe.
 */
public final class FleetSimulation {
    private static final long DEFAULT_STEP_US = 10_000;
    private static final long FIRST_START = 1_000_000_000_000L;
    private static final int SEED_ADDRESSES = 3;
    private static final int TICKS_PER_PERIOD = 10;

    private final SplittableRandom random;
    private final FleetTiming timing;
    private final ShardSettings sharding;
    private final List<String> founders;
    private final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();
    private final SimulatedClock clock = new SimulatedClock();
    private final SimulatedNetwork network;
    private final SimulatedDisks disks = new SimulatedDisks(clock);
    private final EventRecorder recorder;
    private final InvariantChecker checker;
    private long stepUs = DEFAULT_STEP_US;
    private long lastStart = FIRST_START;

    /**
     * A fleet whose operators share no customers; no member runs yet.
     *
     * @param members how many nodes there are
     * @param founding how many of them, from the first on, found the fleet
     * @param timing the fleet's periods
     * @param seed all chance of the simulation comes from it
     */
    public FleetSimulation(int members, int founding, FleetTiming timing, long seed) {
        this(members, founding, timing, seed, ShardSettings.NONE);
    }

    /**
     * A fleet whose operators share customers as {@code sharding} says; no member runs yet.
     *
     * @param members how many nodes there are
     * @param founding how many of them, from the first on, found the fleet
     * @param timing the fleet's periods
     * @param seed all chance of the simulation comes from it
     * @param sharding how operators share customers
     */
    public FleetSimulation(int members, int founding, FleetTiming timing, long seed, ShardSettings sharding) {
        this.random = new SplittableRandom(seed);
        this.timing = timing;
        this.sharding = sharding;
        for (int i = 0; i < members; i++) {
            SimulatedNode node = new SimulatedNode(i);
            nodes.put(node.name(), node);
        }
        founders = nodes.keySet().stream().limit(founding).toList();
        network = new SimulatedNetwork(clock, random, nodes);
        recorder = new EventRecorder(clock, timing, nodes);
        checker = new InvariantChecker(clock, nodes.values(), sharding.shardCount());
    }

    /** All nodes, by number. */
    public List<SimulatedNode> nodes() {
        return List.copyOf(nodes.values());
    }

    /** The node of this number, from 0 on. */
    public SimulatedNode node(int number) {
        return nodes().get(number);
    }

    // ---- Processes and their faults ----

    /**
     * Starts a process at a node where none runs.
     *
     * @param withStore whether its disk still holds what the process before it wrote; else it starts empty
     */
    public void start(SimulatedNode node, boolean withStore) {
        if (!withStore) {
            node.store(null);
        }
        DurableState kept = node.stored();
        long start = ++lastStart;
        long voter = kept == null ? random.nextLong() | 1 : kept.voter();
        Member self = node.newMember(start, voter, sharding.isSharded());
        checker.restarted(node);
        node.store(
                kept == null
                        ? new DurableState(voter, start, View.NONE, null, null, null)
                        : new DurableState(
                                voter, start, kept.view(), kept.promised(), kept.acceptedIn(), kept.accepted()));
        // The order of the two splits and the draw below decides what a seed means.
        SplittableRandom membershipRandom = random.split();
        ShardCoordinator coordinator = sharding.isSharded() ? newCoordinator(node, self) : null;
        Membership membership = new Membership(
                self,
                seedAddresses(),
                founders,
                kept,
                timing,
                membershipRandom,
                (to, message) -> network.send(node, self, to, message),
                (state, whenWritten) -> disks.write(node, state, whenWritten),
                coordinator,
                (event, pairs) -> recorder.event(node, event, pairs),
                clock.nowUs());
        node.starts(self, coordinator, membership, clock.nowUs() + random.nextLong(tickIntervalUs()));
    }

    private List<String> seedAddresses() {
        return founders.stream()
                .limit(SEED_ADDRESSES)
                .map(name -> nodes.get(name).address())
                .toList();
    }

    private ShardCoordinator newCoordinator(SimulatedNode node, Member self) {
        ShardCoordinator coordinator = new ShardCoordinator(
                self,
                sharding.shardCount(),
                sharding.maxAloneMs(),
                timing,
                random.split(),
                (to, message) -> network.send(node, self, to, message),
                (event, pairs) -> recorder.event(node, event, pairs),
                () -> clock.wallMs() + node.clockOffsetMs());
        coordinator.updateTerms(node.terms());
        return coordinator;
    }

    private long tickIntervalUs() {
        return timing.probePeriodUs() / TICKS_PER_PERIOD;
    }

    /** Gives the node's operator other terms there, from now on and after restarts. */
    public void setTerms(SimulatedNode node, AgreementTerms terms) {
        node.setTerms(terms);
    }

    /** Ends a process at once; what it had not written to its disk is lost. */
    public void kill(SimulatedNode node) {
        node.ends();
    }

    /** Ends a process that tells its peers that it leaves. */
    public void leave(SimulatedNode node) {
        node.membership().leave(clock.nowUs());
        node.ends();
    }

    /** Stops a node for so long; its process stays up and goes on afterwards. */
    public void pause(SimulatedNode node, long us) {
        node.pauseUntil(clock.nowUs() + us);
    }

    // ---- The network and the disks ----

    /** Sets which messages get through, by the names of sender and receiver; those under way are held to it too. */
    public void setLinkFilter(BiPredicate<String, String> passes) {
        network.setLinkFilter(passes);
    }

    /** Lets all messages through again. */
    public void heal() {
        network.setLinkFilter((from, to) -> true);
    }

    /** Sets the probability that a message is lost. */
    public void setLossProbability(double probability) {
        network.setLossProbability(probability);
    }

    /** Sets the mean time that a message takes one way; each takes between a half and one and a half of it. */
    public void setMeanDelayUs(long us) {
        network.setMeanDelayUs(us);
    }

    /** Sets what a message takes on top of that, one way, by the names of sender and receiver. */
    public void setExtraDelayUs(ToLongBiFunction<String, String> byEnds) {
        network.setExtraDelayUs(byEnds);
    }

    /** Sets what a sender, by name, says in place of a message of its own: how members lie. */
    public void setMessageRewriter(BiFunction<String, Message, Message> alters) {
        network.setMessageRewriter(alters);
    }

    /** Sets how long a write to disk takes, by the node's name. */
    public void setDiskWriteUs(ToLongFunction<String> byName) {
        disks.setWriteUs(byName);
    }

    // ---- Time ----

    /** The virtual monotonic clock, in microseconds. */
    public long nowUs() {
        return clock.nowUs();
    }

    /** The wall clock of a node whose clock is right, in milliseconds. */
    public long wallMs() {
        return clock.wallMs();
    }

    /** Sets how far the clock advances at each step: the grain of all delays. */
    public void setStepUs(long us) {
        stepUs = us;
    }

    /** Runs until the condition holds, for {@code us} at most; returns whether it came to hold. */
    public boolean runUntil(long us, BooleanSupplier condition) {
        long end = clock.nowUs() + us;
        while (clock.nowUs() < end) {
            step();
            if (condition.getAsBoolean()) {
                return true;
            }
        }
        return false;
    }

    /** Runs for {@code us}. */
    public void runFor(long us) {
        runUntil(us, () -> false);
    }

    private void step() {
        clock.advance(stepUs);
        network.deliverDue(stepUs, checker::checkView);
        disks.completeDue();
        for (SimulatedNode node : nodes.values()) {
            if (node.isTickDue(clock.nowUs())) {
                node.tick(clock.nowUs(), tickIntervalUs());
                checker.checkView(node);
            }
        }
        checker.checkClaims();
        checker.checkOwners();
    }

    // ---- What came of it ----

    /** Whether all members that run have one view, and it holds exactly them, by their present starts. */
    public boolean hasConverged() {
        View first = null;
        int up = 0;
        for (SimulatedNode node : nodes.values()) {
            if (node.isUp()) {
                up++;
                View view = node.view();
                if (first == null) {
                    first = view;
                }
                if (!view.hasId(first.era(), first.number()) || !view.contains(node.self())) {
                    return false;
                }
            }
        }
        return first != null && first.members().size() == up;
    }

    /** How many shards each operator's members act on now, by operator; without those that act on none. */
    public Map<String, Integer> activeShardCounts() {
        Map<String, BitSet> shards = new TreeMap<>();
        for (SimulatedNode node : nodes.values()) {
            shards.computeIfAbsent(node.operator(), operator -> new BitSet()).or(node.actingShards(clock.nowUs()));
        }
        Map<String, Integer> counts = new TreeMap<>();
        shards.forEach((operator, acting) -> {
            if (!acting.isEmpty()) {
                counts.put(operator, acting.cardinality());
            }
        });
        return counts;
    }

    /** The violations of invariants so far, a sentence with its time each; empty if all held. */
    public List<String> violations() {
        return checker.violations();
    }

    /** The longest time that any shard has had no owner, after its first one; since the last reset. */
    public long longestOwnerlessUs() {
        return checker.longestOwnerlessUs();
    }

    /** Sets {@link #longestOwnerlessUs()} to zero. */
    public void resetLongestOwnerless() {
        checker.resetLongestOwnerless();
    }

    /** How often members were declared dead that were up and not just paused, by name; since it was last cleared. */
    public Map<String, Integer> falsePositives() {
        return recorder.falsePositives();
    }

    /** Empties {@link #falsePositives()}. */
    public void clearFalsePositives() {
        recorder.clearFalsePositives();
    }

    /** Keeps the members' log events from now on, for {@link #events()}. */
    public void recordEvents() {
        recorder.recordEvents();
    }

    /** The members' log events since {@link #recordEvents()}: time, member, event and its pairs. */
    public List<String> events() {
        return recorder.events();
    }
}
