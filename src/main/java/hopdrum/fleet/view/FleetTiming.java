package hopdrum.fleet.view;

/**
 * The fleet's intervals, in microseconds of a monotonic clock. Further intervals are derived from the three components.
 *
 * @param probePeriodUs the probe period: the time between two probes by one member
 * @param leaseUs how long a member may act on its view after a majority is known to have held the view
 * @param retentionUs how long the entries of dead and departed members are kept
 */
public record FleetTiming(long probePeriodUs, long leaseUs, long retentionUs) {
    /** Maximum rate, in percent, by which a member's clock may run faster or slower than real time. */
    public static final int MAX_CLOCK_DRIFT_PERCENT = 2;

    private static final int MIN_SUSPICION_PERIODS = 3;
    private static final int MAX_SUSPICION_PERIODS = 9;

    /**
     * Returns how long to wait for the ack of a direct ping before indirect probes are requested; most acks take far
     * less.
     */
    public long ackTimeoutUs() {
        return probePeriodUs * 2 / 5;
    }

    /**
     * Returns the shortest time after which a suspect is declared dead, reached with all confirmations. A member that
     * was paused for less and then learns of the suspicion can still refute it, and is not dropped.
     */
    public long minSuspicionUs() {
        return MIN_SUSPICION_PERIODS * probePeriodUs;
    }

    /** Returns the longest time after which a suspect is declared dead, used while no other member confirms. */
    public long maxSuspicionUs() {
        return MAX_SUSPICION_PERIODS * probePeriodUs;
    }

    /**
     * Returns how long other members may still act on a former view: the length of a lease, plus the relative drift of
     * two clocks during that time.
     */
    public long leaseWithDriftUs() {
        return leaseUs + leaseUs * 2 * MAX_CLOCK_DRIFT_PERCENT / 100;
    }
}
