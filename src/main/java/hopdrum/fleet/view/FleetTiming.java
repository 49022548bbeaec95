package hopdrum.fleet.view;

/**
 * The fleet's intervals, in microseconds of a monotonic clock. All but the three components follow from the probe period.
 *
 * @param probePeriodUs the probe period: time between two probes by one member
 * @param leaseUs how long a member may act on its view after a majority was seen to hold it
 * @param retentionUs how long entries of dead and departed members are retained
 */
public record FleetTiming(long probePeriodUs, long leaseUs, long retentionUs) {
    /** How much faster or slower than real time any member's clock may run, in percent. */
    public static final int MAX_CLOCK_DRIFT_PERCENT = 2;

    private static final int MIN_SUSPICION_PERIODS = 3;
    private static final int MAX_SUSPICION_PERIODS = 9;

    /** How long a direct ping may go unacknowledged before indirect probes are requested; most acks take far less. */
    public long ackTimeoutUs() {
        return probePeriodUs * 2 / 5;
    }

    /**
     * The shortest time from suspicion to death, with all confirmations: a member that was paused for less, and learns of
     * its suspicion, is not dropped.
     */
    public long minSuspicionUs() {
        return MIN_SUSPICION_PERIODS * probePeriodUs;
    }

    /** The longest time from suspicion to death, where no other member confirms. */
    public long maxSuspicionUs() {
        return MAX_SUSPICION_PERIODS * probePeriodUs;
    }

    /**
     * How long claims under a view may outlive it elsewhere: the length of a lease, plus the relative drift of two
     * clocks.
     */
    public long leaseWithDriftUs() {
        return leaseUs + leaseUs * 2 * MAX_CLOCK_DRIFT_PERCENT / 100;
    }
}
