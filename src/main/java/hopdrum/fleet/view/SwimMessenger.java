package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds and sends the failure detector's messages, which carry gossip and the era and number of the settled view.
 */
final class SwimMessenger {
    private static final int INDIRECT_PROBERS = 3;

    private final MessageSender sender;
    private final PeerTable peers;
    private final LocalMember localMember;
    private final GossipQueue gossip;
    private View view = View.NONE;
    private long lastSequence;

    SwimMessenger(MessageSender sender, PeerTable peers, LocalMember localMember, GossipQueue gossip) {
        this.sender = sender;
        this.peers = peers;
        this.localMember = localMember;
        this.gossip = gossip;
    }

    /** Sets the settled view that pings, acks and full-state exchanges name from now on. */
    void setView(View settled) {
        view = settled;
    }

    /** Returns a sequence number that no ping of this start has used. */
    long nextSequence() {
        return ++lastSequence;
    }

    void ping(Peer peer, long sequence) {
        ping(peer.member(), peer, sequence);
    }

    /**
     * Pings a member.
     *
     * @param peer the peer of the target's name, for which gossip is chosen; null if the name is unknown
     */
    void ping(Member target, Peer peer, long sequence) {
        sender.send(target.address(), new Message.Ping(sequence, view.era(), view.number(), gossipFor(peer)));
    }

    /**
     * Acknowledges a ping.
     *
     * @param peer the peer at that address, for which gossip is chosen; null if no gossip is to be sent
     */
    void ack(String address, Peer peer, long sequence) {
        sender.send(address, new Message.Ack(sequence, view.era(), view.number(), gossipFor(peer)));
    }

    void nack(String address, long sequence) {
        sender.send(address, new Message.Nack(sequence));
    }

    /** Sends ping requests for the target to a few live peers; returns how many. */
    int requestIndirectPings(Peer target, long sequence) {
        List<Peer> helpers = peers.sample(INDIRECT_PROBERS, peer -> peer.hasState(State.ALIVE) && peer != target);
        for (Peer helper : helpers) {
            sender.send(helper.address(), new Message.PingRequest(sequence, target.member(), gossipFor(helper)));
        }
        return helpers.size();
    }

    /**
     * Sends the states of this member and all its peers.
     *
     * @param answer whether this is an answer; if false, the recipient sends its full state in return
     */
    void exchangeFullState(String address, boolean answer) {
        List<GossipUpdate> updates = new ArrayList<>();
        updates.add(localMember.toUpdate());
        for (Peer peer : peers.all()) {
            updates.add(peer.toUpdate(localMember.name()));
        }
        sender.send(address, new Message.FullStateExchange(answer, view.era(), view.number(), updates));
    }

    private List<GossipUpdate> gossipFor(Peer recipient) {
        return recipient == null ? List.of() : gossip.updatesFor(recipient, peers.size());
    }
}
