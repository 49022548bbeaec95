package hopdrum.fleet;

/**
 * The fleet's times, microseconds of a monotonic clock. All but the three that are set follow from the period.
 *
 * @param periodUs between two probes of one member
 * @param leaseUs how long a member may act on its view after a majority was seen to hold it
 * @param forgetUs how long the dead are remembered
 */
public record FleetTiming(long periodUs, long leaseUs, long forgetUs) {
    /** How much faster or slower than another a clock is allowed to run, in 100. */
    public static final int MOST_DRIFT = 2;

    /** How long a ping may go unanswered before others are asked to ping: most answers take far less. */
    public long pingUs() {
        return periodUs * 2 / 5;
    }

    /** The least time from a suspicion to a death: a member paused for less, and told of it, is not dropped. */
    public long suspectUs() {
        return 3 * periodUs;
    }

    /** The longest, where no other member confirms. */
    public long longestSuspectUs() {
        return 9 * periodUs;
    }

    /** From when on what the members of a view before may have claimed is surely over. */
    public long lapseUs() {
        return leaseUs + leaseUs * 2 * MOST_DRIFT / 100;
    }
}
