package hopdrum.frontdoor;

import hopdrum.host.QuotaLease;
import hopdrum.host.ShardOwnership;
import hopdrum.host.ZoneLatencies;
import java.util.function.Supplier;

/** What a fleet and its partners supply to the front door. Each is looked up anew whenever Policy needs it. */
final class FleetSuppliers {
    private Supplier<QuotaLease> quotaLease = () -> null;
    private Supplier<ZoneLatencies> zoneLatencies = () -> null;
    private Supplier<ShardOwnership> shardOwnership; // null where no partners share the customers

    void setFleetSuppliers(Supplier<QuotaLease> lease, Supplier<ZoneLatencies> latencies) {
        quotaLease = lease;
        zoneLatencies = latencies;
    }

    void setShardOwnershipSupplier(Supplier<ShardOwnership> ownership) {
        shardOwnership = ownership;
    }

    /** Null where there is no fleet. */
    QuotaLease quotaLease() {
        return quotaLease.get();
    }

    /** Null where there is no fleet, or its latency map is not to be trusted. */
    ZoneLatencies zoneLatencies() {
        return zoneLatencies.get();
    }

    /** Whether partners share the customers. */
    boolean hasPartners() {
        return shardOwnership != null;
    }

    /** Null where no partners share the customers, and before they have settled who owns which shard. */
    ShardOwnership shardOwnership() {
        return shardOwnership == null ? null : shardOwnership.get();
    }
}
