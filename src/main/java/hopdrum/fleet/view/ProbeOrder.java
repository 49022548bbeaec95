package hopdrum.fleet.view;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** SWIM's round robin, reshuffled for each round: no peer waits for its probe longer than two rounds. */
final class ProbeOrder {
    private final PeerTable peers;
    private final SplittableRandom random;
    private final List<Peer> round = new ArrayList<>(); // the rest of this round, its next peer last

    ProbeOrder(PeerTable peers, SplittableRandom random) {
        this.peers = peers;
        this.random = random;
    }

    /** Null if no peer is present. */
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
