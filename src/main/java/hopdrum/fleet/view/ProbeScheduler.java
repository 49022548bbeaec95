package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;

/**
 * SWIM's probes: each period one peer is pinged, after the ack timeout through others too; one that neither way has reached
 * by the period's end is suspected. A local health below the best makes both times longer.
 */
final class ProbeScheduler {
    /** The probe under way. */
    private static final class Probe {
        private final Peer target;
        private final long sequence;
        private final long sentUs;
        private boolean indirect; // ping requests to helpers have been sent
        private int missingNacks; // helpers that have sent neither an ack nor a nack

        private Probe(Peer target, long sequence, long sentUs) {
            this.target = target;
            this.sequence = sequence;
            this.sentUs = sentUs;
        }
    }

    private final FleetTiming timing;
    private final PeerTable peers;
    private final PeerUpdates updates;
    private final SwimMessenger messenger;
    private final LocalHealth health;
    private final ProbeOrder order;
    private final RoundTripListener roundTripListener;
    private Probe probe; // null if none is under way
    private long nextProbeUs;

    ProbeScheduler(
            MemberContext context,
            PeerTable peers,
            PeerUpdates updates,
            SwimMessenger messenger,
            LocalHealth health,
            RoundTripListener roundTripListener,
            long nowUs) {
        this.timing = context.timing();
        this.peers = peers;
        this.updates = updates;
        this.messenger = messenger;
        this.health = health;
        this.order = new ProbeOrder(peers, context.random());
        this.roundTripListener = roundTripListener;
        this.nextProbeUs = nowUs + context.random().nextLong(timing.probePeriodUs());
    }

    void tick(long nowUs) {
        if (probe != null && !probe.indirect && isOverdue(timing.ackTimeoutUs(), nowUs)) {
            probe.indirect = true;
            probe.missingNacks = messenger.requestIndirectPings(probe.target, probe.sequence);
        }
        if (nowUs < nextProbeUs || (probe != null && !isOverdue(timing.probePeriodUs(), nowUs))) {
            return;
        }
        if (probe != null) {
            fail(nowUs);
        }
        start(nowUs);
    }

    private boolean isOverdue(long timeoutUs, long nowUs) {
        return nowUs - probe.sentUs >= timeoutUs * health.timeoutMultiplier();
    }

    private void fail(long nowUs) {
        int onlyPeer = peers.presentCount() <= 1 ? 1 : 0; // without helpers, either side may be at fault
        health.degrade(Math.max(probe.missingNacks, onlyPeer)); // missing nacks: this member may be the slow one
        Peer target = probe.target;
        if (target.isPresent()) {
            updates.suspect(target, nowUs);
        }
        probe = null;
    }

    private void start(long nowUs) {
        nextProbeUs = nowUs + timing.probePeriodUs();
        Peer target = order.next();
        if (target != null) {
            probe = new Probe(target, messenger.nextSequence(), nowUs);
            messenger.ping(target, probe.sequence);
        }
    }

    /**
     * The target has answered, itself or through a helper.
     *
     * @param paused this member may have been paused between the ack's arrival and now: the round trip time is not valid
     */
    void onAck(Member from, long sequence, boolean paused, long nowUs) {
        if (!isUnderWay(sequence)) {
            return;
        }
        if (from.isSameStart(probe.target.member()) && !paused) {
            roundTripListener.onRoundTrip(from, nowUs - probe.sentUs, nowUs);
        }
        probe = null;
        health.improve();
    }

    /** A helper has had no answer from the target yet, but is alive itself. */
    void onNack(long sequence) {
        if (isUnderWay(sequence)) {
            probe.missingNacks = Math.max(0, probe.missingNacks - 1);
        }
    }

    private boolean isUnderWay(long sequence) {
        return probe != null && probe.sequence == sequence;
    }

    /** Cancels the target's probe: its state has been decided by other means. */
    void onStateChange(Peer peer, State next) {
        if (probe != null && probe.target == peer && next != State.SUSPECT) {
            probe = null;
        }
    }

    /** Cancels the current probe: after a pause of this member its result is not evidence about the target. */
    void restart(long nowUs) {
        probe = null;
        nextProbeUs = nowUs;
    }
}
