package hopdrum.fleet.shards;

import hopdrum.host.CustomerOwner;
import hopdrum.host.ShardOwnership;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;

/** What one front door knows of who owns which shard, for its own clock; never changed. */
public final class ShardTable implements ShardOwnership {
    private static final long NOBODY = -1;
    private final boolean[] own; // by shard
    private final long[] tiers; // by shard: whom to ask where this one may not act; NOBODY
    private final long[] fromUs; // by shard, where it is its own
    private final long[] untilUs; // the same
    private final long[] sinceUs; // the same: when it opened here
    private final long retryUs;

    private ShardTable(int shards, long retryUs) {
        own = new boolean[shards];
        tiers = new long[shards];
        fromUs = new long[shards];
        untilUs = new long[shards];
        sinceUs = new long[shards];
        this.retryUs = retryUs;
    }

    /**
     * @param operators tiers by number, from 1 on
     * @param there those of them that have a front door other than this one
     * @param retryUs how soon to ask again where nobody is known
     * @param offsetUs what the snapshot's clock is ahead of the one in the rights
     */
    static ShardTable of(
            ShardLeases.Rights rights,
            String self,
            List<String> operators,
            Set<String> there,
            long retryUs,
            long offsetUs) {
        int n = rights.owners().size();
        ShardTable t = new ShardTable(n, retryUs);
        int mine = 0;
        for (int i = 0; i < n; i++) {
            String owner = rights.owners().get(i);
            t.own[i] = self.equals(owner);
            mine += t.own[i] ? 1 : 0;
            t.tiers[i] = there.contains(owner) && operators.contains(owner) ? operators.indexOf(owner) + 1 : NOBODY;
            t.fromUs[i] = rights.fromUs()[i] == Long.MAX_VALUE ? Long.MAX_VALUE : rights.fromUs()[i] + offsetUs;
            t.untilUs[i] = rights.untilUs() + offsetUs;
            t.sinceUs[i] = rights.sinceUs()[i] + offsetUs;
            if (t.own[i] && mine > rights.floor() && rights.allUntilUs() != Long.MAX_VALUE) {
                t.untilUs[i] = Math.min(t.untilUs[i], rights.allUntilUs() + offsetUs);
            }
        }
        return t;
    }

    /** The shard that a customer falls into, the same at all front doors: MurmurHash3, x86, 32 bits, seed 0. */
    public static int shard(long customer, int shards) {
        return Integer.remainderUnsigned(
                MurmurHash3.hash32x86(ByteBuffer.allocate(8).putLong(customer).array(), 0, 8, 0), shards);
    }

    @Override
    public CustomerOwner owner(long customer, boolean passedOn, long nowUs) {
        int shard = shard(customer, tiers.length);
        boolean known = own[shard] && fromUs[shard] != Long.MAX_VALUE;
        if (known && nowUs < fromUs[shard]) {
            return CustomerOwner.unknown(fromUs[shard] - nowUs); // whoever had it may still act on it
        }
        if (known && nowUs < untilUs[shard]) {
            return CustomerOwner.THIS_TIER;
        }
        return passedOn || tiers[shard] == NOBODY
                ? CustomerOwner.unknown(retryUs)
                : CustomerOwner.partner((int) tiers[shard]);
    }

    @Override
    public long ownershipAgeUs(long customer, long nowUs) {
        return Math.max(0, nowUs - sinceUs[shard(customer, own.length)]);
    }

    /** From the first shard on, a character each: 'x' where this front door acts, at this time or as soon as it may. */
    public String acts(long nowUs) {
        StringBuilder on = new StringBuilder();
        for (int i = 0; i < own.length; i++) {
            on.append(own[i] && nowUs >= fromUs[i] && nowUs < untilUs[i] ? 'x' : '-');
        }
        return on.toString();
    }
}
