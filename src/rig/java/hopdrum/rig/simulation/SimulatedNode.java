package hopdrum.rig.simulation;

import hopdrum.fleet.message.Codec;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import hopdrum.fleet.shards.AgreementTerms;
import hopdrum.fleet.shards.ShardCoordinator;
import hopdrum.fleet.shards.ShardTable;
import hopdrum.fleet.store.Store.DurableState;
import hopdrum.fleet.view.Membership;
import java.util.BitSet;
import java.util.List;

/**
 * A node of the simulated fleet: its name, disk and clock error, and the process that runs there, if any. {@link
 * FleetSimulation} starts and ends the processes. Not thread-safe.
 */
public final class SimulatedNode {
    private static final String PORT_SUFFIX = ":7400";
    private static final int HOSTS_PER_SUBNET = 200;
    private static final char ACTIVE = 'x'; // marks an active shard in ShardTable.activeShards

    private final String name;
    private final int gateway;
    private String site = "here";
    private String operator = "one";
    private AgreementTerms terms = AgreementTerms.NONE;
    private long clockOffsetMs;
    private DurableState storedState; // what the disk holds; null for an empty disk
    private long pausedUntilUs;

    // State of the running process, or of the last one that ran:
    private Member self;
    private Membership membership; // null while no process runs
    private ShardCoordinator shardCoordinator; // null where customers are not shared
    private ShardTable shardTable; // as of the last step at which the process was not paused; null while it may not act
    private long nextTickUs;

    private long bytesSent;
    private long messagesSent;
    private long cpuNanos;

    SimulatedNode(int gateway) {
        this.name = String.format("m%03d", gateway);
        this.gateway = gateway;
    }

    // ---- Node ----

    /** Returns the member's name: {@code m} and its number in three digits, so that names sort by number. */
    public String name() {
        return name;
    }

    /** Returns the gateway number of the node's front door, counted from 0. */
    public int gateway() {
        return gateway;
    }

    /** Returns the operator that the node belongs to. */
    public String operator() {
        return operator;
    }

    /** Sets the operator that the node belongs to from its next start on. */
    public void setOperator(String operator) {
        this.operator = operator;
    }

    /** Sets the site of the node from its next start on. */
    public void setSite(String site) {
        this.site = site;
    }

    /** Sets the error of the node's wall clock, in milliseconds ahead of the correct time. */
    public void setClockOffsetMs(long ms) {
        clockOffsetMs = ms;
    }

    long clockOffsetMs() {
        return clockOffsetMs;
    }

    String address() {
        return "127.0." + (gateway / HOSTS_PER_SUBNET) + "." + (1 + gateway % HOSTS_PER_SUBNET) + PORT_SUFFIX;
    }

    DurableState storedState() {
        return storedState;
    }

    void setStoredState(DurableState state) {
        storedState = state;
    }

    Member newMember(long start, long voter, boolean servesPartners) {
        return new Member(name, start, voter, operator, site, gateway, address(), servesPartners ? address() : null);
    }

    // ---- Process ----

    /** Returns whether a process runs at the node. A paused process counts as running. */
    public boolean isUp() {
        return membership != null;
    }

    /**
     * Returns the view that the node's process holds.
     *
     * @throws NullPointerException while no process runs
     */
    public View view() {
        return membership.viewConsensus().view();
    }

    /** Returns the membership of the node's process; null while no process runs. */
    public Membership membership() {
        return membership;
    }

    Member self() {
        return self;
    }

    void processStarted(Member member, ShardCoordinator coordinator, Membership process, long firstTickUs) {
        self = member;
        shardCoordinator = coordinator;
        membership = process;
        nextTickUs = firstTickUs;
    }

    void processEnded() {
        membership = null;
    }

    void pauseUntil(long untilUs) {
        pausedUntilUs = untilUs;
    }

    long pausedUntilUs() {
        return pausedUntilUs;
    }

    boolean isPaused(long nowUs) {
        return pausedUntilUs > nowUs;
    }

    AgreementTerms terms() {
        return terms;
    }

    void setTerms(AgreementTerms newTerms) {
        terms = newTerms;
        if (isUp() && shardCoordinator != null) {
            shardCoordinator.updateTerms(newTerms);
        }
    }

    void receive(Member sender, byte[] bytes, long nowUs) {
        long startNanos = System.nanoTime();
        Message message = Codec.decode(bytes);
        membership.onMessage(sender, message, nowUs);
        cpuNanos += System.nanoTime() - startNanos;
    }

    boolean isTickDue(long nowUs) {
        return isUp() && !isPaused(nowUs) && nextTickUs <= nowUs;
    }

    void tick(long nowUs, long intervalUs) {
        nextTickUs = nowUs + intervalUs;
        long startNanos = System.nanoTime();
        membership.tick(nowUs);
        cpuNanos += System.nanoTime() - startNanos;
    }

    // ---- Quota claims and shards ----

    /**
     * Returns whether the member may claim its part of the operator's quota. A paused process may claim it until its
     * lease ends.
     */
    boolean isClaimingQuota(long nowUs) {
        return isUp()
                && !membership.isInactive(nowUs)
                && nowUs < membership.viewConsensus().lease().expiresAtUs(nowUs);
    }

    /** Returns the largest number of the operator's members in any view that may still be in force, at least 1. */
    int maxLiveOperatorMembers(long nowUs) {
        int max = 1;
        for (View view : membership.viewConsensus().lease().liveViews(nowUs)) {
            long members = view.members().stream()
                    .filter(member -> member.operator().equals(operator))
                    .count();
            max = Math.max(max, (int) members);
        }
        return max;
    }

    /** Updates the shard table. A paused process keeps its last table, which applies until the lease ends. */
    void refreshShardTable(long nowUs) {
        if (!isUp() || membership.isInactive(nowUs)) {
            shardTable = null;
        } else if (!isPaused(nowUs)) {
            shardTable = shardCoordinator.shardTable(membership.viewConsensus().lease(), List.of(), false, 0, nowUs);
        }
    }

    /** Returns the shards that the node acts on now, according to its shard table. */
    BitSet activeShards(long nowUs) {
        BitSet shards = new BitSet();
        if (isUp() && shardTable != null) {
            String marks = shardTable.activeShards(nowUs);
            for (int shard = marks.indexOf(ACTIVE); shard >= 0; shard = marks.indexOf(ACTIVE, shard + 1)) {
                shards.set(shard);
            }
        }
        return shards;
    }

    // ---- Costs ----

    void countSent(int bytes) {
        bytesSent += bytes;
        messagesSent++;
    }

    /** Returns the bytes sent since the last {@link #resetCounters()}, frame headers included. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Returns the messages sent since the last {@link #resetCounters()}. */
    public long messagesSent() {
        return messagesSent;
    }

    /** Returns the real time that the node's code took since the last {@link #resetCounters()}, in nanoseconds. */
    public long cpuNanos() {
        return cpuNanos;
    }

    /** Sets the counters of bytes, messages and time to zero. */
    public void resetCounters() {
        bytesSent = 0;
        messagesSent = 0;
        cpuNanos = 0;
    }
}
