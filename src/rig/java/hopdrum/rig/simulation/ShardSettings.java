package hopdrum.rig.simulation;

/**
 * Settings of the customer sharing between simulated operators.
 *
 * @param shardCount the number of shards; 0 where customers are not shared
 * @param maxAloneMs the longest that an operator may act on its shards without contact to a majority, milliseconds
 */
public record ShardSettings(int shardCount, long maxAloneMs) {
    /** The settings of a fleet whose operators do not share customers. */
    public static final ShardSettings NONE = new ShardSettings(0, 0);

    /** Returns whether customers are shared between operators. */
    public boolean isSharded() {
        return shardCount > 0;
    }
}
