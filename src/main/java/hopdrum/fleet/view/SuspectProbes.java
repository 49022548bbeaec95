package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate.State;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Probes of suspected peers. About three members probe each suspect, immediately and then in each period, so that
 * either the suspicion is confirmed or the suspect learns of the suspicion and refutes it.
 */
final class SuspectProbes {
    private static final int EXPECTED_PROBERS = 3; // mean number of members that probe a suspect in one period

    /** A probe in progress. */
    private static final class Probe {
        private final Peer suspect;
        private final long incarnation;
        private final long sentUs;
        private boolean indirect;

        private Probe(Peer suspect, long sentUs) {
            this.suspect = suspect;
            this.incarnation = suspect.incarnation();
            this.sentUs = sentUs;
        }

        private boolean isObsolete() {
            return !suspect.hasState(State.SUSPECT) || suspect.incarnation() != incarnation;
        }
    }

    private final FleetTiming timing;
    private final SplittableRandom random;
    private final PeerTable peers;
    private final PeerUpdates updates;
    private final SwimMessenger messenger;
    private final LocalHealth health;
    private final Map<Long, Probe> probes = new LinkedHashMap<>(); // by sequence number; removed on an ack or a timeout

    SuspectProbes(
            MemberContext context, PeerTable peers, PeerUpdates updates, SwimMessenger messenger, LocalHealth health) {
        this.timing = context.timing();
        this.random = context.random();
        this.peers = peers;
        this.updates = updates;
        this.messenger = messenger;
        this.health = health;
    }

    void tick(long nowUs) {
        for (Peer peer : peers.all()) {
            if (peer.hasState(State.SUSPECT) && nowUs >= peer.nextSuspectProbeUs()) {
                peer.scheduleSuspectProbe(nowUs + timing.probePeriodUs());
                probeByChance(peer, nowUs);
            }
        }
        for (Map.Entry<Long, Probe> entry : List.copyOf(probes.entrySet())) {
            advanceProbe(entry.getKey(), entry.getValue(), nowUs);
        }
    }

    private void probeByChance(Peer suspect, long nowUs) {
        double chance = (double) EXPECTED_PROBERS / Math.max(1, peers.presentCount());
        if (random.nextDouble() < chance) {
            long sequence = messenger.nextSequence();
            messenger.ping(suspect, sequence);
            probes.put(sequence, new Probe(suspect, nowUs));
        }
    }

    private void advanceProbe(long sequence, Probe probe, long nowUs) {
        long waitedUs = nowUs - probe.sentUs;
        if (probe.isObsolete()) {
            probes.remove(sequence);
        } else if (waitedUs >= timing.probePeriodUs() * health.timeoutMultiplier()) {
            probes.remove(sequence);
            updates.suspect(probe.suspect, nowUs);
        } else if (!probe.indirect && waitedUs >= timing.ackTimeoutUs() * health.timeoutMultiplier()) {
            probe.indirect = true;
            messenger.requestIndirectPings(probe.suspect, sequence);
        }
    }

    void onAck(long sequence) {
        probes.remove(sequence);
    }

    void cancelAll() {
        probes.clear();
    }
}
