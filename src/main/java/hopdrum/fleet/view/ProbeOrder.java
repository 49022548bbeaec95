package hopdrum.fleet.view;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** SWIM's round-robin probe order, shuffled for each round: no peer waits longer than two rounds for its next probe. */
final class ProbeOrder {
    private final PeerTable peers;
    private final SplittableRandom random;
    private final List<Peer> round = new ArrayList<>(); // remaining peers of the current round, the next one last

    ProbeOrder(PeerTable peers, SplittableRandom random) {
        this.peers = peers;
        this.random = random;
    }

    /** Returns the next peer to probe; null if no peer is present. */
    Peer next() {
        while (true) {
            if (round.isEmpty()) {
                startRound();
                if (round.isEmpty()) {
                    return null;
                }
            }
            Peer peer = round.remove(round.size() - 1);
            if (peer.isPresent() && peers.get(peer.member().name()) == peer) {
                return peer;
            }
        }
    }

    private void startRound() {
        peers.all().stream().filter(Peer::isPresent).forEach(round::add);
        RandomOrder.shuffle(round, random);
    }
}
