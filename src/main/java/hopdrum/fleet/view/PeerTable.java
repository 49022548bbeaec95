package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** All known peers by name, in the order in which they became known. */
final class PeerTable {
    private final SplittableRandom random;
    private final Map<String, Peer> peers = new LinkedHashMap<>(); // dead and departed peers are removed by age

    PeerTable(SplittableRandom random) {
        this.random = random;
    }

    /** Returns the peer of that name; null if the name is not known. */
    Peer get(String name) {
        return peers.get(name);
    }

    boolean contains(String name) {
        return peers.containsKey(name);
    }

    void add(Peer peer) {
        peers.put(peer.member().name(), peer);
    }

    void remove(Peer peer) {
        peers.remove(peer.member().name());
    }

    int size() {
        return peers.size();
    }

    /** Returns a live collection, which must not be iterated while peers are added or removed. */
    Collection<Peer> all() {
        return peers.values();
    }

    /** Returns a copy, which may be iterated while peers are added or removed. */
    List<Peer> snapshot() {
        return List.copyOf(peers.values());
    }

    int presentCount() {
        int count = 0;
        for (Peer peer : peers.values()) {
            if (peer.isPresent()) {
                count++;
            }
        }
        return count;
    }

    /** Returns the members of the peers that satisfy the condition, in a new list that the caller may modify. */
    List<Member> members(Predicate<Peer> condition) {
        List<Member> members = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (condition.test(peer)) {
                members.add(peer.member());
            }
        }
        return members;
    }

    /** Returns at most {@code maxCount} peers that satisfy the condition, drawn at random without replacement. */
    List<Peer> sample(int maxCount, Predicate<Peer> condition) {
        List<Peer> candidates = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (condition.test(peer)) {
                candidates.add(peer);
            }
        }
        return RandomOrder.sample(candidates, maxCount, random);
    }

    /** Returns a copy of the peers' states by name, for the log and for tests. */
    Map<String, State> states() {
        Map<String, State> states = new LinkedHashMap<>();
        peers.forEach((name, peer) -> states.put(name, peer.state()));
        return states;
    }
}
