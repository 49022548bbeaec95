package hopdrum.fleet.view;

import hopdrum.fleet.latency.LatencyMap;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.store.Store.DurableState;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One member of a fleet: dispatches messages and ticks to failure detection, consensus, leases, the latency map and the
 * shard protocol. The member is inactive while its name belongs to another process.
 *
 * <p>Not thread-safe: the owner calls a membership, and every object that the membership returns, under one lock, or in
 * virtual time. Times are microseconds of one monotonic clock.
 */
public final class Membership {
    private static final int NAME_TAKEN_PERIODS = 20; // mean time for which a member whose name is taken is inactive

    private final MemberContext context;
    private final FailureDetector failureDetector;
    private final ViewConsensus viewConsensus;
    private final LatencyMap latencyMap;
    private final LatencySharing latencySharing;
    private final ShardProtocol shards;
    private long inactiveUntilUs = Long.MIN_VALUE / 2; // set while this member's name is taken
    private boolean left;

    /**
     * Creates a member; its first messages are sent in the first tick.
     *
     * @param self this start of this member
     * @param seeds addresses at which the fleet may be found
     * @param founders the names that all have to be present before a new fleet is founded
     * @param restored the state restored from the store; null if there is none
     * @param timing the fleet's intervals
     * @param random the source of all random draws
     * @param sender sends messages to peers
     * @param writer makes votes durable
     * @param shards the protocol by which operators share shards; null if they share none
     * @param log records decisions
     * @param nowUs monotonic time, microseconds
     */
    public Membership(
            Member self,
            List<String> seeds,
            List<String> founders,
            DurableState restored,
            FleetTiming timing,
            SplittableRandom random,
            MessageSender sender,
            DurableStateWriter writer,
            ShardProtocol shards,
            DecisionLog log,
            long nowUs) {
        this.context = new MemberContext(self, timing, random, sender, log);
        this.latencyMap = new LatencyMap(self, timing.probePeriodUs());
        this.failureDetector = new FailureDetector(context, seeds, latencyMap::addSample, nowUs);
        this.latencySharing = new LatencySharing(context, failureDetector, latencyMap);
        this.shards = shards == null ? ShardProtocol.NONE : shards;
        this.shards.setFailureDetector(failureDetector);
        this.viewConsensus =
                new ViewConsensus(context, founders, restored, failureDetector, writer, this.shards, nowUs);
    }

    /** Returns the failure detector, which reports quickly, but only approximately, which members are present. */
    public FailureDetector failureDetector() {
        return failureDetector;
    }

    /** Returns the map of latencies between sites. */
    public LatencyMap latencyMap() {
        return latencyMap;
    }

    /** Returns the consensus on settled views, whose changes are rare and exact. */
    public ViewConsensus viewConsensus() {
        return viewConsensus;
    }

    /**
     * Whether this member has left, or its name belongs to another process: it then sends nothing and ignores all
     * messages.
     */
    public boolean isInactive(long nowUs) {
        return left || viewConsensus.isSuperseded() || nowUs < inactiveUntilUs;
    }

    /** Advances all protocols unless this member is inactive; to be called several times per probe period. */
    public void tick(long nowUs) {
        latencySharing.discardProbesAfterPause(nowUs);
        if (!isInactive(nowUs)) {
            failureDetector.tick(nowUs);
            viewConsensus.tick(nowUs);
            latencySharing.tick(nowUs);
            shards.tick(nowUs);
        }
    }

    /** Leaves the fleet gracefully: some peers are notified at once. This member is inactive from now on. */
    public void leave(long nowUs) {
        if (!isInactive(nowUs)) {
            failureDetector.leave();
            context.log().event("leaves");
        }
        left = true;
    }

    /**
     * Handles one message.
     *
     * @param from the sender, as its hello named it
     * @param message the message
     * @param nowUs monotonic time, microseconds
     */
    public void onMessage(Member from, Message message, long nowUs) {
        if (isInactive(nowUs)
                || onFailureDetectionMessage(from, message, nowUs)
                || onShardMessage(from, message, nowUs)) {
            return;
        }
        if (message instanceof Message.LatencyExchange exchange) {
            latencySharing.onExchange(from, exchange, nowUs);
        } else if (message instanceof Message.NameTaken taken) {
            onNameTaken(taken, nowUs);
        } else {
            viewConsensus.onMessage(from, message, nowUs);
            if (message instanceof Message.ViewSettled settled) { // the sender holds the view that it announces
                shards.onPeerView(from, settled.view().era(), settled.view().number());
            }
        }
    }

    private boolean onFailureDetectionMessage(Member from, Message message, long nowUs) {
        if (message instanceof Message.Ping ping) {
            failureDetector.onPing(from, ping, nowUs);
            onPeerView(from, ping.era(), ping.number(), nowUs);
        } else if (message instanceof Message.Ack ack) {
            failureDetector.onAck(from, ack, nowUs);
            onPeerView(from, ack.era(), ack.number(), nowUs);
        } else if (message instanceof Message.FullStateExchange exchange) {
            failureDetector.onFullStateExchange(from, exchange, nowUs);
            onPeerView(from, exchange.era(), exchange.number(), nowUs);
        } else if (message instanceof Message.PingRequest request) {
            failureDetector.onPingRequest(from, request, nowUs);
        } else if (message instanceof Message.Nack nack) {
            failureDetector.onNack(from, nack, nowUs);
        } else {
            return false;
        }
        return true;
    }

    private boolean onShardMessage(Member from, Message message, long nowUs) {
        if (message instanceof Message.AgreementProposals proposals) {
            shards.onAgreementProposals(from, proposals, nowUs);
        } else if (message instanceof Message.ShardsHandedOver handedOver) {
            shards.onShardsHandedOver(from, handedOver, nowUs);
        } else {
            return false;
        }
        return true;
    }

    private void onPeerView(Member from, long era, long number, long nowUs) {
        viewConsensus.onPeerView(from, era, number, nowUs);
        shards.onPeerView(from, era, number);
    }

    /**
     * Becomes inactive for a time if another process holds this member's name. A member of the settled view keeps its
     * name and ignores the message.
     */
    private void onNameTaken(Message.NameTaken taken, long nowUs) {
        Member self = context.self();
        Member holder = taken.holder();
        if (!holder.name().equals(self.name())
                || holder.isSameStart(self)
                || viewConsensus.view().contains(self)) {
            return;
        }
        long meanUs = NAME_TAKEN_PERIODS * context.timing().probePeriodUs();
        inactiveUntilUs = nowUs + meanUs / 2 + context.random().nextLong(meanUs);
        context.log()
                .event(
                        "refused",
                        "why",
                        "the name is taken by another process",
                        "its_start",
                        holder.start(),
                        "at_address",
                        holder.address());
    }
}
