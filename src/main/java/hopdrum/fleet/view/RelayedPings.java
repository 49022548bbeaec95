package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import java.util.LinkedHashMap;
import java.util.Map;

/** Pings on behalf of other members, the helper's side of SWIM's indirect probes; relays acks to the requesters. */
final class RelayedPings {
    private static final int MAX_PENDING = 512;
    private static final int PENDING_PERIODS = 2;

    private record Relay(String requesterAddress, long requesterSequence, long sentUs) {}

    private final FleetTiming timing;
    private final PeerTable peers;
    private final SwimMessenger messenger;
    private final Map<Long, Relay> pending = new LinkedHashMap<>(); // by own sequence number; bounded by age and count

    RelayedPings(FleetTiming timing, PeerTable peers, SwimMessenger messenger) {
        this.timing = timing;
        this.peers = peers;
        this.messenger = messenger;
    }

    /** Pings the target, and sends the requester a nack immediately, which shows that this helper is alive. */
    void onRequest(Member requester, Message.PingRequest request, long nowUs) {
        long sequence = messenger.nextSequence();
        if (pending.size() < MAX_PENDING) {
            pending.put(sequence, new Relay(requester.address(), request.seq(), nowUs));
        }
        Member target = request.target();
        messenger.ping(target, peers.get(target.name()), sequence);
        messenger.nack(requester.address(), request.seq());
    }

    /** Relays an ack to the requester; returns false if the ping was not sent on behalf of another member. */
    boolean onAck(long sequence) {
        Relay relay = pending.remove(sequence);
        if (relay == null) {
            return false;
        }
        messenger.ack(relay.requesterAddress, null, relay.requesterSequence);
        return true;
    }

    void tick(long nowUs) {
        pending.values().removeIf(relay -> nowUs - relay.sentUs > PENDING_PERIODS * timing.probePeriodUs());
    }
}
