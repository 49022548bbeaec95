package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;

/**
 * Schedules SWIM probes. Each period one peer is pinged; if no ack arrives within the ack timeout, helpers ping it too.
 * A peer that has acknowledged neither by the end of the period is suspected. Degraded local health lengthens both
 * times.
 */
final class ProbeScheduler {
    /** The current probe. */
    private static final class Probe {
        private final Peer target;
        private final long sequence;
        private final long sentUs;
        private boolean indirect; // whether ping requests have been sent to helpers
        private int missingNacks; // number of helpers that have sent neither an ack nor a nack

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
    private Probe probe; // null if no probe is in progress
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
            failProbe(nowUs);
        }
        startProbe(nowUs);
    }

    private boolean isOverdue(long timeoutUs, long nowUs) {
        return nowUs - probe.sentUs >= timeoutUs * health.timeoutMultiplier();
    }

    private void failProbe(long nowUs) {
        int onlyPeer = peers.presentCount() <= 1 ? 1 : 0; // without helpers, either member may be the unreachable one
        health.degrade(Math.max(probe.missingNacks, onlyPeer)); // missing nacks suggest that this member is slow
        Peer target = probe.target;
        if (target.isPresent()) {
            updates.suspect(target, nowUs);
        }
        probe = null;
    }

    private void startProbe(long nowUs) {
        nextProbeUs = nowUs + timing.probePeriodUs();
        Peer target = order.next();
        if (target != null) {
            probe = new Probe(target, messenger.nextSequence(), nowUs);
            messenger.ping(target, probe.sequence);
        }
    }

    /**
     * Completes the probe: the target has acknowledged it, directly or through a helper.
     *
     * @param paused whether this member may have been paused between the ack's arrival and now, which makes the
     *     round-trip time invalid
     */
    void onAck(Member from, long sequence, boolean paused, long nowUs) {
        if (!isCurrentProbe(sequence)) {
            return;
        }
        if (from.isSameStart(probe.target.member()) && !paused) {
            roundTripListener.onRoundTrip(from, nowUs - probe.sentUs, nowUs);
        }
        probe = null;
        health.improve();
    }

    /** Records a nack: the helper has had no ack from the target yet, but is alive itself. */
    void onNack(long sequence) {
        if (isCurrentProbe(sequence)) {
            probe.missingNacks = Math.max(0, probe.missingNacks - 1);
        }
    }

    private boolean isCurrentProbe(long sequence) {
        return probe != null && probe.sequence == sequence;
    }

    /**
     * Cancels the probe of a peer that turns alive, dead or departed, because the probe's result is no longer needed.
     */
    void onStateChange(Peer peer, State next) {
        if (probe != null && probe.target == peer && next != State.SUSPECT) {
            probe = null;
        }
    }

    /** Cancels the current probe: after a pause of this member, a missing ack is no evidence that the target failed. */
    void restartAfterPause(long nowUs) {
        probe = null;
        nextProbeUs = nowUs;
    }
}
