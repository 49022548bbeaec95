package hopdrum.fleet.shards;

import hopdrum.host.CustomerOwner;
import hopdrum.host.ShardOwnership;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;

/** What one front door knows of who owns which shard, by its own clock. Immutable; may be read from any thread. */
public final class ShardTable implements ShardOwnership {
    /** In {@link #activeShards}: this front door may act on the shard. */
    public static final char ACTIVE = 'x';

    private static final char INACTIVE = '-';
    private static final long NO_TIER = -1;

    private final boolean[] isOwn; // by shard
    private final long[] tiers; // by shard: where to forward what this one may not act on; NO_TIER for nowhere
    private final long[] fromUs; // by shard, where it is its own
    private final long[] untilUs; // the same
    private final long[] sinceUs; // the same: when its hand-over was complete
    private final long retryUs;

    private ShardTable(int shards, long retryUs) {
        isOwn = new boolean[shards];
        tiers = new long[shards];
        fromUs = new long[shards];
        untilUs = new long[shards];
        sinceUs = new long[shards];
        this.retryUs = retryUs;
    }

    /**
     * Makes the table of a lease snapshot.
     *
     * @param leases what this member may act on, by the fleet's clock
     * @param self this member's operator
     * @param operators tiers by number, from 1 on
     * @param reachable those of them that have a front door other than this one
     * @param retryUs how soon to ask again where no owner is known, microseconds
     * @param offsetUs what the table's clock is ahead of the leases' one, microseconds
     */
    static ShardTable of(
            ShardLeases.Snapshot leases,
            String self,
            List<String> operators,
            Set<String> reachable,
            long retryUs,
            long offsetUs) {
        int shards = leases.shards().size();
        ShardTable table = new ShardTable(shards, retryUs);
        int ownShards = 0;
        for (int shard = 0; shard < shards; shard++) {
            ShardLeases.ShardLease lease = leases.shards().get(shard);
            String owner = lease.owner();
            boolean isOwn = self.equals(owner);
            ownShards += isOwn ? 1 : 0;
            table.isOwn[shard] = isOwn;
            table.tiers[shard] =
                    reachable.contains(owner) && operators.contains(owner) ? operators.indexOf(owner) + 1 : NO_TIER;
            table.fromUs[shard] = lease.fromUs() == Long.MAX_VALUE ? Long.MAX_VALUE : lease.fromUs() + offsetUs;
            table.untilUs[shard] = leases.untilUs() + offsetUs;
            table.sinceUs[shard] = lease.sinceUs() + offsetUs;
            if (isOwn && ownShards > leases.floorShards() && leases.agreementUntilUs() != Long.MAX_VALUE) {
                table.untilUs[shard] = Math.min(table.untilUs[shard], leases.agreementUntilUs() + offsetUs);
            }
        }
        return table;
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
        int shard = shard(customer, tiers.length);
        boolean known = isOwn[shard] && fromUs[shard] != Long.MAX_VALUE;
        if (known && nowUs < fromUs[shard]) {
            return CustomerOwner.unknown(fromUs[shard] - nowUs); // whoever had it may still act on it
        }
        if (known && nowUs < untilUs[shard]) {
            return CustomerOwner.THIS_TIER;
        }
        return passedOn || tiers[shard] == NO_TIER
                ? CustomerOwner.unknown(retryUs)
                : CustomerOwner.partner((int) tiers[shard]);
    }

    @Override
    public long ownershipAgeUs(long customer, long nowUs) {
        return Math.max(0, nowUs - sinceUs[shard(customer, isOwn.length)]);
    }

    /**
     * Returns the shards that this front door acts on.
     *
     * @param nowUs the time by the table's clock, microseconds
     * @return a character a shard: 'x' where it may act now, '-' where it may not
     */
    public String activeShards(long nowUs) {
        StringBuilder active = new StringBuilder();
        for (int shard = 0; shard < isOwn.length; shard++) {
            boolean isActive = isOwn[shard] && nowUs >= fromUs[shard] && nowUs < untilUs[shard];
            active.append(isActive ? ACTIVE : INACTIVE);
        }
        return active.toString();
    }
}
