package hopdrum.fleet.shards;

import hopdrum.host.CustomerOwner;
import hopdrum.host.ShardOwnership;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;

/** The ownership of shards as one front door knows it, by its own clock. Immutable; may be read from any thread. */
public final class ShardTable implements ShardOwnership {
    /** The character in {@link #activeShards} of a shard that this front door may act on. */
    public static final char ACTIVE = 'x';

    private static final char INACTIVE = '-';
    private static final long NO_TIER = -1;

    private final List<ShardEntry> entries; // by shard
    private final long retryAfterUs; // how soon to retry if no owner is known

    /**
     * The ownership of one shard. The times are microseconds of the table's clock; they apply to own shards only.
     *
     * @param isOwn whether this front door's operator owns the shard
     * @param tier the number of the tier to forward requests to that this front door may not act on; NO_TIER for none
     * @param fromUs from when on this front door may act on the shard; Long.MAX_VALUE for never
     * @param untilUs until when this front door may act on the shard
     * @param sinceUs when the hand-over of the shard was complete
     */
    private record ShardEntry(boolean isOwn, long tier, long fromUs, long untilUs, long sinceUs) {
        boolean isActive(long nowUs) {
            return isOwn && nowUs >= fromUs && nowUs < untilUs;
        }
    }

    private ShardTable(List<ShardEntry> entries, long retryAfterUs) {
        this.entries = List.copyOf(entries);
        this.retryAfterUs = retryAfterUs;
    }

    /**
     * Creates the table of a lease snapshot.
     *
     * @param leases the shards that this member may act on, by the fleet's clock
     * @param self the operator of this member
     * @param operators the operators of the partners' tiers, by tier number from 1
     * @param reachableOperators the operators that have a front door other than this one that takes requests
     * @param retryAfterUs how soon to retry if no owner is known, microseconds
     * @param offsetUs how far the table's clock is ahead of the leases' clock, microseconds
     */
    static ShardTable of(
            ShardLeases.Snapshot leases,
            String self,
            List<String> operators,
            Set<String> reachableOperators,
            long retryAfterUs,
            long offsetUs) {
        List<ShardEntry> entries = new ArrayList<>(leases.shards().size());
        int ownShardCount = 0;
        for (ShardLeases.ShardLease lease : leases.shards()) {
            String owner = lease.owner();
            boolean isOwn = self.equals(owner);
            ownShardCount += isOwn ? 1 : 0;
            long tier = reachableOperators.contains(owner) && operators.contains(owner)
                    ? operators.indexOf(owner) + 1
                    : NO_TIER;
            long fromUs = lease.fromUs() == Long.MAX_VALUE ? Long.MAX_VALUE : lease.fromUs() + offsetUs;
            long untilUs = leases.untilUs() + offsetUs;
            if (isOwn && ownShardCount > leases.floorShards() && leases.agreementUntilUs() != Long.MAX_VALUE) {
                untilUs = Math.min(untilUs, leases.agreementUntilUs() + offsetUs);
            }
            entries.add(new ShardEntry(isOwn, tier, fromUs, untilUs, lease.sinceUs() + offsetUs));
        }
        return new ShardTable(entries, retryAfterUs);
    }

    /**
     * Returns the shard of a customer. All front doors use the same hash: MurmurHash3, x86, 32 bits, seed 0.
     *
     * @param customer the customer's key
     * @param shardCount the number of shards
     * @return the shard, from 0
     */
    public static int shardOf(long customer, int shardCount) {
        return Integer.remainderUnsigned(
                MurmurHash3.hash32x86(ByteBuffer.allocate(8).putLong(customer).array(), 0, 8, 0), shardCount);
    }

    @Override
    public CustomerOwner owner(long customer, boolean forwarded, long nowUs) {
        ShardEntry entry = entries.get(shardOf(customer, entries.size()));
        if (entry.isActive(nowUs)) {
            return CustomerOwner.THIS_TIER;
        }
        if (entry.isOwn && entry.fromUs != Long.MAX_VALUE && nowUs < entry.fromUs) {
            return CustomerOwner.unknown(entry.fromUs - nowUs); // the former owner may still act on the shard
        }
        return forwarded || entry.tier == NO_TIER
                ? CustomerOwner.unknown(retryAfterUs)
                : CustomerOwner.partner((int) entry.tier);
    }

    @Override
    public long ownershipAgeUs(long customer, long nowUs) {
        return Math.max(0, nowUs - entries.get(shardOf(customer, entries.size())).sinceUs);
    }

    /**
     * Returns the shards that this front door acts on.
     *
     * @param nowUs the time by the table's clock, microseconds
     * @return one character for each shard: 'x' if this front door may act on the shard now, '-' if not
     */
    public String activeShards(long nowUs) {
        StringBuilder characters = new StringBuilder(entries.size());
        for (ShardEntry entry : entries) {
            characters.append(entry.isActive(nowUs) ? ACTIVE : INACTIVE);
        }
        return characters.toString();
    }
}
