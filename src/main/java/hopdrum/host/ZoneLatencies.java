package hopdrum.host;

/** The network latencies from this gateway to the zones of the backends, as the fleet has measured them. Immutable. */
public final class ZoneLatencies {
    private final long[] extraRoundTripUs;

    /**
     * Creates the latencies by zone, in the order of the zones in the settings.
     *
     * @param extraRoundTripUs microseconds by which a round trip to each zone exceeds one within this gateway's own
     *     site; copied
     */
    public ZoneLatencies(long[] extraRoundTripUs) {
        this.extraRoundTripUs = extraRoundTripUs.clone();
    }

    /**
     * Returns the microseconds by which a round trip to a zone exceeds one within this gateway's own site; 0 for an
     * unknown zone.
     */
    public long extraRoundTripUs(int zone) {
        return zone >= 0 && zone < extraRoundTripUs.length ? extraRoundTripUs[zone] : 0;
    }
}
