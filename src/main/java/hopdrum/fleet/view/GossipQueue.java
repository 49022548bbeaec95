package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate;
import hopdrum.fleet.message.GossipUpdate.State;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The updates that are disseminated on pings and acks: the latest about each member, each sent a bounded number of times. */
final class GossipQueue {
    private static final int MAX_UPDATES_PER_MESSAGE = 8; // the size of a ping stays flat as the fleet grows
    private static final int SENDS_PER_DOUBLING = 4; // an update is sent so often for each doubling of the fleet

    private static final class Pending {
        private GossipUpdate update;
        private int sends;
    }

    private final String observer;
    private final Map<String, Pending> pendingByName = new LinkedHashMap<>(); // removed once sent often enough

    /** @param observer the name of this member */
    GossipQueue(String observer) {
        this.observer = observer;
    }

    /** Replaces what is pending about that member, and counts its sends from 0. */
    void enqueue(GossipUpdate update) {
        Pending pending = pendingByName.computeIfAbsent(update.subject().name(), name -> new Pending());
        pending.update = update;
        pending.sends = 0;
    }

    void remove(String name) {
        pendingByName.remove(name);
    }

    /**
     * Chooses the updates for one message, those sent least first. For a peer that is not believed alive, its own state
     * comes first, so that it can refute.
     *
     * @param knownPeers how many peers are known, of any state
     */
    List<GossipUpdate> updatesFor(Peer recipient, int knownPeers) {
        List<GossipUpdate> updates = new ArrayList<>(MAX_UPDATES_PER_MESSAGE);
        if (!recipient.hasState(State.ALIVE)) {
            updates.add(recipient.toUpdate(observer));
        }
        List<Pending> leastSentFirst = new ArrayList<>(pendingByName.values());
        leastSentFirst.sort(Comparator.comparingInt(pending -> pending.sends));
        for (Pending pending : leastSentFirst) {
            if (updates.size() >= MAX_UPDATES_PER_MESSAGE) {
                break;
            }
            if (!pending.update.subject().name().equals(recipient.member().name())) {
                updates.add(pending.update);
                pending.sends++;
            }
        }
        int maxSends = maxSends(knownPeers + 1);
        pendingByName.values().removeIf(pending -> pending.sends >= maxSends);
        return updates;
    }

    private static int maxSends(int members) {
        return SENDS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(members));
    }
}
