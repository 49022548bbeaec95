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
 * One place of the fleet, with its name, disk and clock error, and the process that runs there, if one does. Its
 * processes come and go through {@link FleetSimulation}. Not thread-safe.
 */
public final class SimulatedNode {
    private static final String ADDRESS_PORT = ":7400";
    private static final int HOSTS_PER_SUBNET = 200;
    private static final char ACTS = 'x'; // in ShardTable.acts

    private final String name;
    private final int gateway;
    private String site = "here";
    private String operator = "one";
    private AgreementTerms terms = AgreementTerms.NONE;
    private long clockOffsetMs;
    private DurableState stored; // what its disk holds; null for nothing
    private long pausedUntilUs;

    // Of the process that runs, or ran last:
    private Member self;
    private Membership membership; // null while none runs
    private ShardCoordinator shardCoordinator; // null where customers are not shared
    private ShardTable shardTable; // as at the last step at which it ran
    private long nextTickUs;

    private long bytesSent;
    private long messagesSent;
    private long cpuNanos;

    SimulatedNode(int gateway) {
        this.name = String.format("m%03d", gateway);
        this.gateway = gateway;
    }

    // ---- The place ----

    /** The member's name: {@code m} and its number in three digits, so that names sort by number. */
    public String name() {
        return name;
    }

    /** The number of its front door, from 0 on. */
    public int gateway() {
        return gateway;
    }

    /** The operator whose member it is. */
    public String operator() {
        return operator;
    }

    /** Makes it a member of this operator from its next start on. */
    public void setOperator(String operator) {
        this.operator = operator;
    }

    /** Places it at this site from its next start on. */
    public void setSite(String site) {
        this.site = site;
    }

    /** Sets the error of its wall clock, in milliseconds ahead of the right time. */
    public void setClockOffsetMs(long ms) {
        clockOffsetMs = ms;
    }

    long clockOffsetMs() {
        return clockOffsetMs;
    }

    String address() {
        return "127.0." + (gateway / HOSTS_PER_SUBNET) + "." + (1 + gateway % HOSTS_PER_SUBNET) + ADDRESS_PORT;
    }

    DurableState stored() {
        return stored;
    }

    void store(DurableState state) {
        stored = state;
    }

    Member newMember(long start, long voter, boolean servesPartners) {
        return new Member(name, start, voter, operator, site, gateway, address(), servesPartners ? address() : null);
    }

    // ---- The process ----

    /** Whether a process runs here; a paused one does. */
    public boolean isUp() {
        return membership != null;
    }

    /** The view that its process holds; fails while none runs. */
    public View view() {
        return membership.viewConsensus().view();
    }

    /** Its process's membership; null while none runs. */
    public Membership membership() {
        return membership;
    }

    Member self() {
        return self;
    }

    void starts(Member member, ShardCoordinator coordinator, Membership process, long firstTickUs) {
        self = member;
        shardCoordinator = coordinator;
        membership = process;
        nextTickUs = firstTickUs;
    }

    void ends() {
        membership = null;
    }

    void pauseUntil(long us) {
        pausedUntilUs = us;
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
        long began = System.nanoTime();
        Message message = Codec.decode(bytes);
        membership.onMessage(sender, message, nowUs);
        cpuNanos += System.nanoTime() - began;
    }

    boolean isTickDue(long nowUs) {
        return isUp() && !isPaused(nowUs) && nextTickUs <= nowUs;
    }

    void tick(long nowUs, long intervalUs) {
        nextTickUs = nowUs + intervalUs;
        long began = System.nanoTime();
        membership.tick(nowUs);
        cpuNanos += System.nanoTime() - began;
    }

    // ---- What it acts on ----

    /** Whether it may claim its part of its operator's quota; a paused process claims on until its lease is over. */
    boolean isClaiming(long nowUs) {
        return isUp()
                && !membership.isInactive(nowUs)
                && nowUs < membership.viewConsensus().lease().expiresAtUs(nowUs);
    }

    /** The most members that its operator has in any view that may still be in force, 1 at least. */
    int largestLiveTier(long nowUs) {
        int most = 1;
        for (View view : membership.viewConsensus().lease().liveViews(nowUs)) {
            long members = view.members().stream()
                    .filter(member -> member.operator().equals(operator))
                    .count();
            most = Math.max(most, (int) members);
        }
        return most;
    }

    /** Reads its shard table anew; a paused process acts by the last one until its lease is over. */
    void refreshShardTable(long nowUs) {
        if (!isUp() || membership.isInactive(nowUs)) {
            shardTable = null;
        } else if (!isPaused(nowUs)) {
            shardTable = shardCoordinator.shardTable(membership.viewConsensus().lease(), List.of(), false, 0, nowUs);
        }
    }

    /** The shards that it acts on now, by its shard table. */
    BitSet actingShards(long nowUs) {
        BitSet acting = new BitSet();
        if (isUp() && shardTable != null) {
            String acts = shardTable.activeShards(nowUs);
            for (int shard = acts.indexOf(ACTS); shard >= 0; shard = acts.indexOf(ACTS, shard + 1)) {
                acting.set(shard);
            }
        }
        return acting;
    }

    // ---- What it costs ----

    void countSent(int bytes) {
        bytesSent += bytes;
        messagesSent++;
    }

    /** Bytes that it sent, frames' headers included, since the last {@link #resetCounters()}. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Messages that it sent since the last {@link #resetCounters()}. */
    public long messagesSent() {
        return messagesSent;
    }

    /** Real time that its code took since the last {@link #resetCounters()}, in nanoseconds. */
    public long cpuNanos() {
        return cpuNanos;
    }

    /** Sets the counts of bytes, messages and time to zero. */
    public void resetCounters() {
        bytesSent = 0;
        messagesSent = 0;
        cpuNanos = 0;
    }
}
