package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.util.ArrayList;
import java.util.List;

/** Builds and sends the failure detector's messages, with gossip and this member's settled view on them. */
final class SwimMessenger {
    private static final int INDIRECT_PROBERS = 3;

    private final MessageSender sender;
    private final PeerTable peers;
    private final LocalMember local;
    private final GossipQueue gossip;
    private View view = View.NONE;
    private long lastSequence;

    SwimMessenger(MessageSender sender, PeerTable peers, LocalMember local, GossipQueue gossip) {
        this.sender = sender;
        this.peers = peers;
        this.local = local;
        this.gossip = gossip;
    }

    /** The settled view that pings, acks and exchanges name from now on. */
    void setView(View settled) {
        view = settled;
    }

    /** A number that no ping of this start has had. */
    long nextSequence() {
        return ++lastSequence;
    }

    void ping(Peer peer, long sequence) {
        ping(peer.member(), peer, sequence);
    }

    /** @param peer what is known of that name, for its gossip; null if nothing is */
    void ping(Member target, Peer peer, long sequence) {
        sender.send(target.address(), new Message.Ping(sequence, view.era(), view.number(), gossipFor(peer)));
    }

    /** @param peer what is known of the recipient, for its gossip; null if no gossip is to be sent */
    void ack(String address, Peer peer, long sequence) {
        sender.send(address, new Message.Ack(sequence, view.era(), view.number(), gossipFor(peer)));
    }

    void nack(String address, long sequence) {
        sender.send(address, new Message.Nack(sequence));
    }

    /** Sends ping requests for the target to some live peers; returns how many. */
    int requestIndirectPings(Peer target, long sequence) {
        List<Peer> helpers = peers.sample(INDIRECT_PROBERS, peer -> peer.hasState(State.ALIVE) && peer != target);
        for (Peer helper : helpers) {
            sender.send(helper.address(), new Message.PingRequest(sequence, target.member(), gossipFor(helper)));
        }
        return helpers.size();
    }

    /** @param answer false to ask for the recipient's full state in return */
    void exchangeFullState(String address, boolean answer) {
        List<GossipUpdate> updates = new ArrayList<>();
        updates.add(local.toUpdate());
        for (Peer peer : peers.all()) {
            updates.add(peer.toUpdate(local.name()));
        }
        sender.send(address, new Message.FullStateExchange(answer, view.era(), view.number(), updates));
    }

    private List<GossipUpdate> gossipFor(Peer recipient) {
        return recipient == null ? List.of() : gossip.updatesFor(recipient, peers.size());
    }
}
