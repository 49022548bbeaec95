package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.util.List;
import java.util.Map;

/**
 * Detects quickly, but only approximately, which members are present, by SWIM (Das, Gupta, Motivala 2002) with
 * Lifeguard (Dadgar, Phillips, Currey 2018). Each period one peer is probed, through helpers if it does not answer. An
 * unreachable peer is suspected, may refute, and is declared dead after a timeout that shrinks as other members confirm
 * the suspicion. Updates are disseminated on pings and acks. docs/fleet.md lists the differences from the papers.
 *
 * <p>Not thread-safe: called under the lock of {@link Membership}. Times are microseconds of one monotonic clock.
 */
public final class FailureDetector {
    private static final int PAUSE_PERIODS = 2; // a longer time between two ticks means that this process was paused

    private final Member self;
    private final FleetTiming timing;
    private final DecisionLog log;
    private final PeerTable peers;
    private final LocalHealth health = new LocalHealth();
    private final LocalMember localMember;
    private final PeerUpdates updates;
    private final SwimMessenger messenger;
    private final ProbeScheduler probes;
    private final SuspectProbes suspectProbes;
    private final RelayedPings relayedPings;
    private final FullStateExchanges exchanges;
    private long lastTickUs;

    FailureDetector(MemberContext context, List<String> seeds, RoundTripListener roundTripListener, long nowUs) {
        self = context.self();
        timing = context.timing();
        log = context.log();
        GossipQueue gossip = new GossipQueue(self.name());
        peers = new PeerTable(context.random());
        localMember = new LocalMember(context, gossip, health);
        updates = new PeerUpdates(context, peers, localMember, gossip, this::onStateChange);
        messenger = new SwimMessenger(context.sender(), peers, localMember, gossip);
        probes = new ProbeScheduler(context, peers, updates, messenger, health, roundTripListener, nowUs);
        suspectProbes = new SuspectProbes(context, peers, updates, messenger, health);
        relayedPings = new RelayedPings(timing, peers, messenger);
        exchanges = new FullStateExchanges(context, seeds, peers, localMember, messenger, nowUs);
        lastTickUs = nowUs;
        localMember.announce();
    }

    private void onStateChange(Peer peer, State next) {
        probes.onStateChange(peer, next);
    }

    // ---- Queries ----

    /**
     * Returns the state of the latest known start of that name, which may be this member's; null if the name is
     * unknown.
     */
    public State state(String name) {
        if (name.equals(self.name())) {
            return localMember.state();
        }
        Peer peer = peers.get(name);
        return peer == null ? null : peer.state();
    }

    /** Returns the latest known start of that name, which may be this member; null if the name is unknown. */
    public Member latestStart(String name) {
        if (name.equals(self.name())) {
            return self;
        }
        Peer peer = peers.get(name);
        return peer == null ? null : peer.member();
    }

    /**
     * Returns since when the peer of that name has had its state, microseconds; a time far in the past if the name is
     * unknown.
     */
    public long stateSinceUs(String name) {
        Peer peer = peers.get(name);
        return peer == null ? Long.MIN_VALUE / 2 : peer.stateSinceUs();
    }

    /**
     * Returns all members believed to be present, suspected or not; this member comes first unless it is leaving.
     *
     * @return a new list, which the caller may modify
     */
    public List<Member> presentMembers() {
        List<Member> present = peers.members(Peer::isPresent);
        if (!localMember.isLeaving()) {
            present.add(0, self);
        }
        return present;
    }

    /** Returns the members that have left gracefully and have not been removed from the peer table yet. */
    public List<Member> departedMembers() {
        return peers.members(peer -> peer.hasState(State.LEFT));
    }

    /** Returns the state of each known peer, by name. */
    public Map<String, State> states() {
        return peers.states();
    }

    // ---- Ticks ----

    /** Sends probes and applies timeouts as due; called several times per probe period. */
    void tick(long nowUs) {
        long sinceLastTickUs = nowUs - lastTickUs;
        lastTickUs = nowUs;
        if (sinceLastTickUs > PAUSE_PERIODS * timing.probePeriodUs()) {
            resumeAfterPause(sinceLastTickUs, nowUs);
        }
        updates.tick(nowUs);
        relayedPings.tick(nowUs);
        suspectProbes.tick(nowUs);
        probes.tick(nowUs);
        exchanges.tick(nowUs);
    }

    /**
     * Discards probes from before a pause of this process: their missing acks are no evidence that a peer failed, so no
     * peer is to be suspected because of them.
     */
    private void resumeAfterPause(long pausedUs, long nowUs) {
        log.event("woke", "away_us", pausedUs);
        health.degrade(pausedUs / timing.probePeriodUs());
        probes.restartAfterPause(nowUs);
        suspectProbes.cancelAll();
        updates.restartSuspicions(nowUs);
    }

    // ---- Messages ----

    void onPing(Member from, Message.Ping ping, long nowUs) {
        Peer peer = updates.onMessageFrom(from, nowUs);
        updates.applyAll(ping.updates(), nowUs);
        messenger.ack(from.address(), peer, ping.seq());
    }

    void onAck(Member from, Message.Ack ack, long nowUs) {
        updates.onMessageFrom(from, nowUs);
        updates.applyAll(ack.updates(), nowUs);
        suspectProbes.onAck(ack.seq());
        if (!relayedPings.onAck(ack.seq())) {
            boolean paused = nowUs - lastTickUs >= timing.probePeriodUs() / 2;
            probes.onAck(from, ack.seq(), paused, nowUs);
        }
    }

    void onPingRequest(Member from, Message.PingRequest request, long nowUs) {
        updates.onMessageFrom(from, nowUs);
        updates.applyAll(request.updates(), nowUs);
        relayedPings.onRequest(from, request, nowUs);
    }

    void onNack(Member from, Message.Nack nack, long nowUs) {
        updates.onMessageFrom(from, nowUs);
        probes.onNack(nack.seq());
    }

    void onFullStateExchange(Member from, Message.FullStateExchange exchange, long nowUs) {
        updates.onMessageFrom(from, nowUs);
        updates.applyAll(exchange.updates(), nowUs);
        if (!exchange.answer()) {
            messenger.exchangeFullState(from.address(), true);
        }
    }

    /**
     * Switches to a settled view: messages name this view from now on, and its members are probed even if no gossip has
     * named them.
     */
    void onViewSettled(View settled, long nowUs) {
        messenger.setView(settled);
        updates.addMembers(settled, nowUs);
    }

    /** Announces that this member is leaving: to some peers directly, to the others through gossip. */
    void leave() {
        localMember.leave();
        exchanges.announceDeparture();
    }
}
