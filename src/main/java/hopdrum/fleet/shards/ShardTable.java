package hopdrum.fleet.shards;

import hopdrum.host.CustomerOwner;
import hopdrum.host.ShardOwnership;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;

/** The shard ownership known to one front door, timed by its own clock. Immutable; may be read from any thread. */
public final class ShardTable implements ShardOwnership {
    /** In {@link #activeShards}: this front door may act on the shard. */
    public static final char ACTIVE = 'x';

    private static final char INACTIVE = '-';
    private static final long NO_TIER = -1;

    private final List<Entry> entries; // by shard
    private final long retryUs;

    /**
     * What is known of one shard, times by the table's clock.
     *
     * @param isOwn whether this front door's operator owns it
     * @param tier where to forward what this front door may not act on; NO_TIER for nowhere
     * @param fromUs where it is its own: from when on it may act; Long.MAX_VALUE for never
     * @param untilUs where it is its own: until when it may act
     * @param sinceUs where it is its own: when its hand-over was complete
     */
    private record Entry(boolean isOwn, long tier, long fromUs, long untilUs, long sinceUs) {
        boolean isActive(long nowUs) {
            return isOwn && nowUs >= fromUs && nowUs < untilUs;
        }
    }

    private ShardTable(List<Entry> entries, long retryUs) {
        this.entries = List.copyOf(entries);
        this.retryUs = retryUs;
    }

    /**
     * Makes the table of a lease snapshot.
     *
     * @param leases what this member may act on, by the fleet's clock
     * @param self this member's operator
     * @param operators tiers by number, from 1 on
     * @param reachable those of them that have a front door other than this one
     * @param retryUs how soon to retry where no owner is known, microseconds
     * @param offsetUs what the table's clock is ahead of the leases' one, microseconds
     */
    static ShardTable of(
            ShardLeases.Snapshot leases,
            String self,
            List<String> operators,
            Set<String> reachable,
            long retryUs,
            long offsetUs) {
        List<Entry> entries = new ArrayList<>(leases.shards().size());
        int ownShards = 0;
        for (ShardLeases.ShardLease lease : leases.shards()) {
            String owner = lease.owner();
            boolean isOwn = self.equals(owner);
            ownShards += isOwn ? 1 : 0;
            long tier = reachable.contains(owner) && operators.contains(owner) ? operators.indexOf(owner) + 1 : NO_TIER;
            long fromUs = lease.fromUs() == Long.MAX_VALUE ? Long.MAX_VALUE : lease.fromUs() + offsetUs;
            long untilUs = leases.untilUs() + offsetUs;
            if (isOwn && ownShards > leases.floorShards() && leases.agreementUntilUs() != Long.MAX_VALUE) {
                untilUs = Math.min(untilUs, leases.agreementUntilUs() + offsetUs);
            }
            entries.add(new Entry(isOwn, tier, fromUs, untilUs, lease.sinceUs() + offsetUs));
        }
        return new ShardTable(entries, retryUs);
    }

    /**
     * Returns the shard that a customer falls into, the same at all front doors: MurmurHash3, x86, 32 bits, seed 0.
     *
     * @param customer the customer's number
     * @param shards the number of shards
     * @return the shard, from 0
     */
    public static int shard(long customer, int shards) {
        return Integer.remainderUnsigned(
                MurmurHash3.hash32x86(ByteBuffer.allocate(8).putLong(customer).array(), 0, 8, 0), shards);
    }

    @Override
    public CustomerOwner owner(long customer, boolean passedOn, long nowUs) {
        Entry entry = entries.get(shard(customer, entries.size()));
        if (entry.isActive(nowUs)) {
            return CustomerOwner.THIS_TIER;
        }
        if (entry.isOwn && entry.fromUs != Long.MAX_VALUE && nowUs < entry.fromUs) {
            return CustomerOwner.unknown(entry.fromUs - nowUs); // the former owner may still act on it
        }
        return passedOn || entry.tier == NO_TIER
                ? CustomerOwner.unknown(retryUs)
                : CustomerOwner.partner((int) entry.tier);
    }

    @Override
    public long ownershipAgeUs(long customer, long nowUs) {
        return Math.max(0, nowUs - entries.get(shard(customer, entries.size())).sinceUs);
    }

    /**
     * Returns the shards that this front door acts on.
     *
     * @param nowUs the time by the table's clock, microseconds
     * @return a character a shard: 'x' where it may act now, '-' where it may not
     */
    public String activeShards(long nowUs) {
        StringBuilder active = new StringBuilder(entries.size());
        for (Entry entry : entries) {
            active.append(entry.isActive(nowUs) ? ACTIVE : INACTIVE);
        }
        return active.toString();
    }
}
