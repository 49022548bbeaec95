package hopdrum.fleet;

import hopdrum.fleet.shards.ShardCoordinator;
import hopdrum.fleet.view.ViewLease;
import hopdrum.host.ShardOwnership;
import hopdrum.host.ShardOwnership.PartnerEndpoint;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * The snapshot of shard ownership, and the partners' front doors that RPCs may be forwarded to. Updated under the
 * fleet's lock; {@link #current()} may be read from any thread.
 */
final class ShardTablePublisher {
    private final ShardCoordinator coordinator;
    private final List<String> operators; // by tier, the first one's is 1
    private final long loopOffsetUs;
    private volatile ShardOwnership table; // null until shards are assigned
    private Map<String, List<PartnerEndpoint>> endpoints = Map.of(); // by operator
    private BiConsumer<Integer, List<PartnerEndpoint>> listener = (tier, tierEndpoints) -> {};

    /** @param loopOffsetUs what the front door's clock is ahead of this machine's monotonic one, microseconds */
    ShardTablePublisher(ShardCoordinator coordinator, List<String> operators, long loopOffsetUs) {
        this.coordinator = coordinator;
        this.operators = operators;
        this.loopOffsetUs = loopOffsetUs;
    }

    /** The last snapshot, null until shards are assigned; never waits. */
    ShardOwnership current() {
        return table;
    }

    /** Sets the listener for tier endpoints: called for all tiers now, then for each tier whose endpoints change. */
    void setListener(BiConsumer<Integer, List<PartnerEndpoint>> newListener) {
        listener = newListener;
        notifyChanged(Map.of());
    }

    /** Publishes a new snapshot, and the endpoints that have changed. */
    void publish(ViewLease viewLease, boolean actsOnNothing, long nowUs) {
        table = coordinator.shardTable(viewLease, operators, actsOnNothing, loopOffsetUs, nowUs);
        Map<String, List<PartnerEndpoint>> before = endpoints;
        endpoints = coordinator.partnerEndpoints();
        notifyChanged(before);
    }

    private void notifyChanged(Map<String, List<PartnerEndpoint>> before) {
        for (int i = 0; i < operators.size(); i++) {
            List<PartnerEndpoint> ofTier = endpoints.getOrDefault(operators.get(i), List.of());
            if (!ofTier.equals(before.getOrDefault(operators.get(i), List.of()))) {
                listener.accept(i + 1, ofTier);
            }
        }
    }
}
