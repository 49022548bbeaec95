package hopdrum.host;

/** How far the zones that backends stand in are from this gateway, as a fleet has measured. Immutable. */
public final class ZoneLatencies {
    private final long[] roundTripUs;

    /**
     * Round trips by zone, in the order of the settings' zones.
     *
     * @param roundTripUs microseconds that a round trip takes beyond the nearest zone's; copied
     */
    public ZoneLatencies(long[] roundTripUs) {
        this.roundTripUs = roundTripUs.clone();
    }

    /** The round trip to a zone in microseconds; 0 for a zone that is not known. */
    public long roundTripUs(int zone) {
        return zone >= 0 && zone < roundTripUs.length ? roundTripUs[zone] : 0;
    }
}
