package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate.State;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Anti-entropy. Full-state exchanges with random peers deliver updates that gossip has missed; exchanges with seeds and
 * dead members merge partitions whose members have declared each other dead.
 */
final class FullStateExchanges {
    private static final int EXCHANGE_PERIODS = 10; // mean time between two exchanges in a small fleet
    private static final int FULL_RATE_MEMBERS = 16; // larger fleets exchange less often, to bound the bytes sent
    private static final int REJOIN_PERIODS = 3; // mean time between attempts to reach a seed or a dead member
    private static final int DEPARTURE_FANOUT = 5; // peers that are notified of a departure at once

    private final String selfAddress;
    private final List<String> seeds;
    private final FleetTiming timing;
    private final SplittableRandom random;
    private final PeerTable peers;
    private final LocalMember localMember;
    private final SwimMessenger messenger;
    private long nextExchangeUs;
    private long nextRejoinUs;

    FullStateExchanges(
            MemberContext context,
            List<String> seeds,
            PeerTable peers,
            LocalMember localMember,
            SwimMessenger messenger,
            long nowUs) {
        this.selfAddress = context.self().address();
        this.seeds = List.copyOf(seeds);
        this.timing = context.timing();
        this.random = context.random();
        this.peers = peers;
        this.localMember = localMember;
        this.messenger = messenger;
        this.nextExchangeUs = nowUs;
        this.nextRejoinUs = nowUs;
    }

    void tick(long nowUs) {
        if (nowUs >= nextExchangeUs) {
            nextExchangeUs = nowUs + exchangeIntervalUs();
            for (Peer peer : peers.sample(1, Peer::isPresent)) {
                messenger.exchangeFullState(peer.address(), false);
            }
        }
        if (nowUs >= nextRejoinUs) {
            nextRejoinUs = nowUs + randomAround(REJOIN_PERIODS * timing.probePeriodUs());
            tryRejoin();
        }
    }

    private long exchangeIntervalUs() {
        int slowdown = Math.max(1, peers.presentCount() / FULL_RATE_MEMBERS);
        return randomAround(EXCHANGE_PERIODS * timing.probePeriodUs() * slowdown);
    }

    /** Returns 0.5 to 1.5 times the mean, so that the members' exchanges do not synchronize. */
    private long randomAround(long meanUs) {
        return meanUs / 2 + random.nextLong(meanUs);
    }

    /** Tries one missing address. Never gives up, because a partition or the wait for the first seed may last long. */
    private void tryRejoin() {
        List<String> missing = missingAddresses();
        if (!missing.isEmpty() && !localMember.isLeaving()) {
            messenger.exchangeFullState(missing.get(random.nextInt(missing.size())), false);
        }
    }

    private List<String> missingAddresses() {
        Set<String> present = new HashSet<>();
        for (Peer peer : peers.all()) {
            if (peer.isPresent()) {
                present.add(peer.address());
            }
        }
        List<String> missing = new ArrayList<>();
        for (String seed : seeds) {
            if (!present.contains(seed) && !seed.equals(selfAddress)) {
                missing.add(seed);
            }
        }
        for (Peer peer : peers.all()) {
            if (peer.hasState(State.DEAD) && !present.contains(peer.address())) {
                missing.add(peer.address());
            }
        }
        return missing;
    }

    /** Notifies a few peers directly that this member is leaving; the others learn it through gossip. */
    void announceDeparture() {
        for (Peer peer : peers.sample(DEPARTURE_FANOUT, Peer::isPresent)) {
            messenger.exchangeFullState(peer.address(), true);
        }
    }
}
