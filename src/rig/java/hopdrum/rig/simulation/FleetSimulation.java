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
 * A simulation of a whole fleet in virtual time, in one thread: the product's membership code on a simulated network
 * and simulated disks. The same seed and the same method calls give the same run. Invariants are checked at each step,
 * see {@link #violations()}. Times are microseconds of the virtual clock unless stated otherwise. Not thread-safe.
 */
public final class FleetSimulation {
    private static final long DEFAULT_STEP_US = 10_000;
    private static final long FIRST_START = 1_000_000_000_000L;
    private static final int SEED_ADDRESS_COUNT = 3;
    private static final int TICKS_PER_PROBE_PERIOD = 10;

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
     * Creates a fleet whose operators share no customers. No member runs yet.
     *
     * @param memberCount the number of nodes
     * @param founderCount the number of nodes, from the first one on, that are founders of the fleet
     * @param timing the fleet's intervals
     * @param seed the seed of all random choices of the simulation
     */
    public FleetSimulation(int memberCount, int founderCount, FleetTiming timing, long seed) {
        this(memberCount, founderCount, timing, seed, ShardSettings.NONE);
    }

    /**
     * Creates a fleet with the given settings of the customer sharing. No member runs yet.
     *
     * @param memberCount the number of nodes
     * @param founderCount the number of nodes, from the first one on, that are founders of the fleet
     * @param timing the fleet's intervals
     * @param seed the seed of all random choices of the simulation
     * @param sharding how the operators share customers
     */
    public FleetSimulation(int memberCount, int founderCount, FleetTiming timing, long seed, ShardSettings sharding) {
        this.random = new SplittableRandom(seed);
        this.timing = timing;
        this.sharding = sharding;
        for (int i = 0; i < memberCount; i++) {
            SimulatedNode node = new SimulatedNode(i);
            nodes.put(node.name(), node);
        }
        founders = nodes.keySet().stream().limit(founderCount).toList();
        network = new SimulatedNetwork(clock, random, nodes);
        recorder = new EventRecorder(clock, timing, nodes);
        checker = new InvariantChecker(clock, nodes.values(), sharding.shardCount());
    }

    /** Returns all nodes in the order of their numbers. */
    public List<SimulatedNode> nodes() {
        return List.copyOf(nodes.values());
    }

    /** Returns the node with the given number, counted from 0. */
    public SimulatedNode node(int number) {
        return nodes().get(number);
    }

    // ---- Processes ----

    /**
     * Starts a process at a node where none runs.
     *
     * @param node the node
     * @param keepsStore whether the disk still holds what the node's previous process wrote; otherwise it is empty
     */
    public void start(SimulatedNode node, boolean keepsStore) {
        if (!keepsStore) {
            node.setStoredState(null);
        }
        DurableState storedState = node.storedState();
        long start = ++lastStart;
        long voter = storedState == null ? random.nextLong() | 1 : storedState.voter();
        Member self = node.newMember(start, voter, sharding.isSharded());
        checker.forgetLastView(node);
        node.setStoredState(
                storedState == null
                        ? new DurableState(voter, start, View.NONE, null, null, null)
                        : new DurableState(
                                voter,
                                start,
                                storedState.view(),
                                storedState.promised(),
                                storedState.acceptedIn(),
                                storedState.accepted()));
        // The order of the two splits and of the draw for the first tick determines the run that a seed gives.
        SplittableRandom membershipRandom = random.split();
        ShardCoordinator coordinator = sharding.isSharded() ? newCoordinator(node, self) : null;
        Membership membership = new Membership(
                self,
                seedAddresses(),
                founders,
                storedState,
                timing,
                membershipRandom,
                (to, message) -> network.send(node, self, to, message),
                (state, onWritten) -> disks.write(node, state, onWritten),
                coordinator,
                (event, pairs) -> recorder.onEvent(node, event, pairs),
                clock.nowUs());
        node.processStarted(self, coordinator, membership, clock.nowUs() + random.nextLong(tickIntervalUs()));
    }

    private List<String> seedAddresses() {
        return founders.stream()
                .limit(SEED_ADDRESS_COUNT)
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
                (event, pairs) -> recorder.onEvent(node, event, pairs),
                () -> clock.wallMs() + node.clockOffsetMs());
        coordinator.updateTerms(node.terms());
        return coordinator;
    }

    private long tickIntervalUs() {
        return timing.probePeriodUs() / TICKS_PER_PROBE_PERIOD;
    }

    /** Sets the agreement terms of a node's operator at that node. They apply at once and after restarts. */
    public void setTerms(SimulatedNode node, AgreementTerms terms) {
        node.setTerms(terms);
    }

    /** Ends the process of a node at once. Writes to its disk that have not completed are lost. */
    public void kill(SimulatedNode node) {
        node.processEnded();
    }

    /** Ends the process of a node after it has announced to its peers that it leaves the fleet. */
    public void leave(SimulatedNode node) {
        node.membership().leave(clock.nowUs());
        node.processEnded();
    }

    /** Pauses the process of a node for a duration in microseconds. The process stays up and resumes afterwards. */
    public void pause(SimulatedNode node, long durationUs) {
        node.pauseUntil(clock.nowUs() + durationUs);
    }

    // ---- Network and disks ----

    /** Sets which messages pass, by the names of sender and receiver. The filter also applies to messages in flight. */
    public void setLinkFilter(BiPredicate<String, String> filter) {
        network.setLinkFilter(filter);
    }

    /** Removes the link filter, so that all messages pass again. */
    public void heal() {
        network.setLinkFilter((from, to) -> true);
    }

    /** Sets the probability that a message is lost, from 0 to 1. */
    public void setLossProbability(double probability) {
        network.setLossProbability(probability);
    }

    /** Sets the mean one-way delay in microseconds; a message takes between half and one and a half times as long. */
    public void setMeanDelayUs(long meanDelayUs) {
        network.setMeanDelayUs(meanDelayUs);
    }

    /** Sets the one-way delay, in microseconds, that is added by the names of sender and receiver. */
    public void setExtraDelayUs(ToLongBiFunction<String, String> delayBySenderAndReceiver) {
        network.setExtraDelayUs(delayBySenderAndReceiver);
    }

    /**
     * Sets the function that replaces each message before it is sent, so that members send false messages.
     *
     * @param rewriter takes the sender's name and its message, and returns the message to send
     */
    public void setMessageRewriter(BiFunction<String, Message, Message> rewriter) {
        network.setMessageRewriter(rewriter);
    }

    /** Sets how long a write to disk takes, in microseconds, by the node's name. */
    public void setDiskWriteUs(ToLongFunction<String> durationByNode) {
        disks.setWriteDurationUs(durationByNode);
    }

    // ---- Time ----

    /** Returns the time of the virtual monotonic clock, microseconds. */
    public long nowUs() {
        return clock.nowUs();
    }

    /** Returns the time of a wall clock without error, milliseconds since the Unix epoch. */
    public long wallMs() {
        return clock.wallMs();
    }

    /** Sets the length of a step in microseconds, which is the resolution of all delays. */
    public void setStepUs(long newStepUs) {
        stepUs = newStepUs;
    }

    /**
     * Runs the simulation until a condition holds after a step.
     *
     * @param limitUs the longest time to run, microseconds
     * @param condition the condition
     * @return whether the condition held within the limit
     */
    public boolean runUntil(long limitUs, BooleanSupplier condition) {
        long endUs = clock.nowUs() + limitUs;
        while (clock.nowUs() < endUs) {
            step();
            if (condition.getAsBoolean()) {
                return true;
            }
        }
        return false;
    }

    /** Runs the simulation for a duration in microseconds. */
    public void runFor(long durationUs) {
        runUntil(durationUs, () -> false);
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

    // ---- Results ----

    /** Returns whether all running members hold one view, and the view has exactly them with their current starts. */
    public boolean hasConverged() {
        View first = null;
        int upCount = 0;
        for (SimulatedNode node : nodes.values()) {
            if (node.isUp()) {
                upCount++;
                View view = node.view();
                if (first == null) {
                    first = view;
                }
                if (!view.hasId(first.era(), first.number()) || !view.contains(node.self())) {
                    return false;
                }
            }
        }
        return first != null && first.members().size() == upCount;
    }

    /** Returns the number of shards that each operator's members act on now; without operators that act on none. */
    public Map<String, Integer> activeShardCounts() {
        Map<String, BitSet> shards = new TreeMap<>();
        for (SimulatedNode node : nodes.values()) {
            shards.computeIfAbsent(node.operator(), operator -> new BitSet()).or(node.activeShards(clock.nowUs()));
        }
        Map<String, Integer> counts = new TreeMap<>();
        shards.forEach((operator, activeShards) -> {
            if (!activeShards.isEmpty()) {
                counts.put(operator, activeShards.cardinality());
            }
        });
        return counts;
    }

    /** Returns the violations of invariants so far: each with its time, invariant and details; empty for none. */
    public List<String> violations() {
        return checker.violations();
    }

    /**
     * Returns the longest time that any shard has been without an owner since the last reset. The time before a shard's
     * first owner does not count.
     */
    public long longestOwnerlessUs() {
        return checker.longestOwnerlessUs();
    }

    /** Sets {@link #longestOwnerlessUs()} to zero. */
    public void resetLongestOwnerless() {
        checker.resetLongestOwnerless();
    }

    /**
     * Returns how often each member was declared dead by mistake, by name, since the counts were last cleared: while
     * its process was up and had run without a pause for at least the minimum suspicion time.
     */
    public Map<String, Integer> falsePositives() {
        return recorder.falsePositives();
    }

    /** Removes all counts of {@link #falsePositives()}. */
    public void clearFalsePositives() {
        recorder.clearFalsePositives();
    }

    /** Records the members' log events from now on, for {@link #events()}. */
    public void recordEvents() {
        recorder.recordEvents();
    }

    /** Returns the log events since {@link #recordEvents()}, one string each: time, member, event and its pairs. */
    public List<String> events() {
        return recorder.events();
    }
}
