package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.util.List;
import java.util.Map;

/**
 * Detects quickly, but only approximately, who is present: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar,
 * Phillips, Currey 2018). Each period one peer is probed, through helpers if it does not answer; one that is unreachable
 * is suspected, may refute, and is declared dead after a timeout that shrinks as others confirm. Updates are disseminated
 * on the pings. docs/fleet.md lists the differences from the papers.
 *
 * <p>Not thread-safe: called under the lock of {@link Membership}. Times are microseconds of one monotonic clock.
 */
public final class FailureDetector {
    private static final int PAUSE_PERIODS = 2; // between two ticks: this process did not run

    private final Member self;
    private final FleetTiming timing;
    private final DecisionLog log;
    private final PeerTable peers;
    private final LocalHealth health = new LocalHealth();
    private final LocalMember local;
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
        local = new LocalMember(context, gossip, health);
        updates = new PeerUpdates(context, peers, local, gossip, this::onStateChange);
        messenger = new SwimMessenger(context.sender(), peers, local, gossip);
        probes = new ProbeScheduler(context, peers, updates, messenger, health, roundTripListener, nowUs);
        suspectProbes = new SuspectProbes(context, peers, updates, messenger, health);
        relayedPings = new RelayedPings(timing, peers, messenger);
        exchanges = new FullStateExchanges(context, seeds, peers, local, messenger, nowUs);
        lastTickUs = nowUs;
        local.announce();
    }

    private void onStateChange(Peer peer, State next) {
        probes.onStateChange(peer, next);
    }

    // ---- Queries ----

    /** The state of the latest known start of that name, this member's own included; null if the name is not known. */
    public State state(String name) {
        if (name.equals(self.name())) {
            return local.state();
        }
        Peer peer = peers.get(name);
        return peer == null ? null : peer.state();
    }

    /** The latest known start of that name, this member's own included; null if the name is not known. */
    public Member latestStart(String name) {
        if (name.equals(self.name())) {
            return self;
        }
        Peer peer = peers.get(name);
        return peer == null ? null : peer.member();
    }

    /** Since when the peer of that name has had its state, microseconds; long past if the name is not known. */
    public long stateSinceUs(String name) {
        Peer peer = peers.get(name);
        return peer == null ? Long.MIN_VALUE / 2 : peer.stateSinceUs();
    }

    /**
     * All members believed to be present, suspected or not; this member comes first unless it is leaving.
     *
     * @return a list of the caller's own
     */
    public List<Member> presentMembers() {
        List<Member> present = peers.members(Peer::isPresent);
        if (!local.isLeaving()) {
            present.add(0, self);
        }
        return present;
    }

    /** The members that have left gracefully and are not forgotten yet. */
    public List<Member> departedMembers() {
        return peers.members(peer -> peer.hasState(State.LEFT));
    }

    /** The state of each known peer, by name. */
    public Map<String, State> states() {
        return peers.states();
    }

    // ---- Time ----

    /** Called several times a probe period. */
    void tick(long nowUs) {
        long sinceLastTickUs = nowUs - lastTickUs;
        lastTickUs = nowUs;
        if (sinceLastTickUs > PAUSE_PERIODS * timing.probePeriodUs()) {
            resumeAfter(sinceLastTickUs, nowUs);
        }
        updates.tick(nowUs);
        relayedPings.tick(nowUs);
        suspectProbes.tick(nowUs);
        probes.tick(nowUs);
        exchanges.tick(nowUs);
    }

    /** Guards against suspecting peers because this process was paused: probes from before the pause are not evidence. */
    private void resumeAfter(long pausedUs, long nowUs) {
        log.event("woke", "away_us", pausedUs);
        health.degrade(pausedUs / timing.probePeriodUs());
        probes.restart(nowUs);
        suspectProbes.clear();
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

    /** A view has been settled: messages name it from now on, and its members are probed even if no gossip named them. */
    void onViewSettled(View settled, long nowUs) {
        messenger.setView(settled);
        updates.addMembers(settled, nowUs);
    }

    /** Announces that this member leaves: directly to some peers, to the others by gossip. */
    void leave() {
        local.leave();
        exchanges.announceDeparture();
    }
}
