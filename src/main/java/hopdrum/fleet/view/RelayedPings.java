package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import java.util.LinkedHashMap;
import java.util.Map;

/** Pings on behalf of other members (the helper's side of SWIM's indirect probes): relays acks to the requesters. */
final class RelayedPings {
    private static final int MAX_PENDING = 512;
    private static final int PENDING_PERIODS = 2;

    private record Relay(String originAddress, long originSequence, long sentUs) {}

    private final FleetTiming timing;
    private final PeerTable peers;
    private final SwimMessenger messenger;
    private final Map<Long, Relay> pending = new LinkedHashMap<>(); // by own sequence; bounded by age and number

    RelayedPings(FleetTiming timing, PeerTable peers, SwimMessenger messenger) {
        this.timing = timing;
        this.peers = peers;
        this.messenger = messenger;
    }

    /** Pings the target, and sends the requester a nack at once to show that this helper is alive. */
    void onRequest(Member origin, Message.PingRequest request, long nowUs) {
        long sequence = messenger.nextSequence();
        if (pending.size() < MAX_PENDING) {
            pending.put(sequence, new Relay(origin.address(), request.seq(), nowUs));
        }
        Member target = request.target();
        messenger.ping(target, peers.get(target.name()), sequence);
        messenger.nack(origin.address(), request.seq());
    }

    /** Passes an ack on; false if its ping was not relayed for another. */
    boolean onAck(long sequence) {
        Relay relay = pending.remove(sequence);
        if (relay == null) {
            return false;
        }
        messenger.ack(relay.originAddress, null, relay.originSequence);
        return true;
    }

    void tick(long nowUs) {
        pending.values().removeIf(relay -> nowUs - relay.sentUs > PENDING_PERIODS * timing.probePeriodUs());
    }
}
