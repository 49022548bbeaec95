package hopdrum.rig.simulation;

/**
 * How the simulated operators share customers.
 *
 * @param shardCount number of shards; 0 where customers are not shared
 * @param maxAloneMs how long an operator may act on its shards while it is cut off, at most, in milliseconds
 */
public record ShardSettings(int shardCount, long maxAloneMs) {
    /** Customers are not shared between operators. */
    public static final ShardSettings NONE = new ShardSettings(0, 0);

    /** Whether customers are shared at all. */
    public boolean isSharded() {
        return shardCount > 0;
    }
}
