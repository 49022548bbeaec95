package hopdrum.frontdoor;

import hopdrum.host.QuotaLease;
import hopdrum.host.ShardOwnership;
import hopdrum.host.ZoneLatencies;
import java.util.function.Supplier;

/** Holds the suppliers of the fleet's and its partners' state. Each is called anew whenever Policy needs its value. */
final class FleetSuppliers {
    private Supplier<QuotaLease> quotaLease = () -> null;
    private Supplier<ZoneLatencies> zoneLatencies = () -> null;
    private Supplier<ShardOwnership> shardOwnership; // null if no partners share the customers

    void setFleetSuppliers(Supplier<QuotaLease> quotaLeaseSupplier, Supplier<ZoneLatencies> zoneLatenciesSupplier) {
        quotaLease = quotaLeaseSupplier;
        zoneLatencies = zoneLatenciesSupplier;
    }

    void setShardOwnershipSupplier(Supplier<ShardOwnership> shardOwnershipSupplier) {
        shardOwnership = shardOwnershipSupplier;
    }

    /** Returns the current quota lease; null if there is no fleet. */
    QuotaLease quotaLease() {
        return quotaLease.get();
    }

    /** Returns the current zone latencies; null if there is no fleet or its latency map is not reliable. */
    ZoneLatencies zoneLatencies() {
        return zoneLatencies.get();
    }

    /** Whether partners share the customers. */
    boolean hasPartners() {
        return shardOwnership != null;
    }

    /** Returns the shard owners; null if no partners share the customers or the owners are not settled yet. */
    ShardOwnership shardOwnership() {
        return shardOwnership == null ? null : shardOwnership.get();
    }
}
