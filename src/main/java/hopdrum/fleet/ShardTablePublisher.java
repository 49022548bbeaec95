package hopdrum.fleet;

import hopdrum.fleet.shards.ShardCoordinator;
import hopdrum.fleet.view.ViewLease;
import hopdrum.host.ShardOwnership;
import hopdrum.host.ShardOwnership.PartnerEndpoint;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Publishes snapshots of the ownership of shards, and the partners' front doors to which requests may be forwarded.
 * Snapshots are published under the fleet member's lock; {@link #currentOwnership()} may be called from any thread.
 */
final class ShardTablePublisher {
    private final ShardCoordinator coordinator;
    private final List<String> operators; // in the order of their tiers; the first operator has tier 1
    private final long loopOffsetUs;
    private volatile ShardOwnership currentOwnership; // null until shards are assigned
    private Map<String, List<PartnerEndpoint>> endpointsByOperator = Map.of();
    private BiConsumer<Integer, List<PartnerEndpoint>> listener = (tier, tierEndpoints) -> {};

    /**
     * Creates a publisher without a snapshot.
     *
     * @param coordinator the source of the ownership and the endpoints
     * @param operators the names of all operators, in the order of their tiers
     * @param loopOffsetUs the clock of the front door's event loop minus the machine's monotonic clock, microseconds
     */
    ShardTablePublisher(ShardCoordinator coordinator, List<String> operators, long loopOffsetUs) {
        this.coordinator = coordinator;
        this.operators = operators;
        this.loopOffsetUs = loopOffsetUs;
    }

    /** Returns the latest snapshot; null until shards are assigned. Does not block. */
    ShardOwnership currentOwnership() {
        return currentOwnership;
    }

    /**
     * Sets the listener. It is called at once for each tier that has endpoints, then for each tier whose endpoints
     * change.
     */
    void setListener(BiConsumer<Integer, List<PartnerEndpoint>> newListener) {
        listener = newListener;
        notifyOfChangedTiers(Map.of());
    }

    /**
     * Publishes a new snapshot, and notifies the listener of changed endpoints.
     *
     * @param viewLease this member's lease on its view
     * @param actsOnNothing whether this member is inactive or leaving and so must not act on any shard
     * @param nowUs the present time, microseconds of the machine's monotonic clock
     */
    void publishOwnership(ViewLease viewLease, boolean actsOnNothing, long nowUs) {
        currentOwnership = coordinator.shardTable(viewLease, operators, actsOnNothing, loopOffsetUs, nowUs);
        Map<String, List<PartnerEndpoint>> formerEndpoints = endpointsByOperator;
        endpointsByOperator = coordinator.partnerEndpoints();
        notifyOfChangedTiers(formerEndpoints);
    }

    private void notifyOfChangedTiers(Map<String, List<PartnerEndpoint>> formerEndpoints) {
        for (int i = 0; i < operators.size(); i++) {
            List<PartnerEndpoint> tierEndpoints = endpointsByOperator.getOrDefault(operators.get(i), List.of());
            if (!tierEndpoints.equals(formerEndpoints.getOrDefault(operators.get(i), List.of()))) {
                listener.accept(i + 1, tierEndpoints);
            }
        }
    }
}
