package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate;
import hopdrum.fleet.message.GossipUpdate.State;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The updates that pings, ping requests and acks disseminate: the latest about each member, each sent a bounded number
 * of times.
 */
final class GossipQueue {
    private static final int MAX_UPDATES_PER_MESSAGE = 8; // keeps the size of a ping independent of the fleet's size
    private static final int SENDS_PER_DOUBLING = 4; // sends of an update for each doubling of the fleet's size

    private static final class PendingUpdate {
        private GossipUpdate update;
        private int sends;
    }

    private final String selfName;
    private final Map<String, PendingUpdate> pendingByName = new LinkedHashMap<>(); // removed after maxSends sends

    /**
     * Creates an empty queue.
     *
     * @param selfName the name of this member
     */
    GossipQueue(String selfName) {
        this.selfName = selfName;
    }

    /** Replaces the pending update about the subject, if any, and resets its number of sends to 0. */
    void enqueue(GossipUpdate update) {
        PendingUpdate pending = pendingByName.computeIfAbsent(update.subject().name(), name -> new PendingUpdate());
        pending.update = update;
        pending.sends = 0;
    }

    void remove(String name) {
        pendingByName.remove(name);
    }

    /**
     * Chooses the updates for one message, least sent first. If the recipient is not believed alive, the update about
     * the recipient itself comes first, so that the recipient can refute.
     *
     * @param knownPeers the number of known peers, whatever their state
     */
    List<GossipUpdate> updatesFor(Peer recipient, int knownPeers) {
        List<GossipUpdate> updates = new ArrayList<>(MAX_UPDATES_PER_MESSAGE);
        if (!recipient.hasState(State.ALIVE)) {
            updates.add(recipient.toUpdate(selfName));
        }
        List<PendingUpdate> leastSentFirst = new ArrayList<>(pendingByName.values());
        leastSentFirst.sort(Comparator.comparingInt(pending -> pending.sends));
        for (PendingUpdate pending : leastSentFirst) {
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
