package hopdrum.fleet.message;

/**
 * The round-trip time that one member has measured between its own site and another.
 *
 * @param observer the name of the member that measured the round-trip time
 * @param start the observer's start number
 * @param from the observer's site
 * @param to the other site
 * @param seq a sequence number that grows with each reading of this start of the observer; the higher one wins
 * @param rttUs the recent round-trip time, microseconds: the smaller of the last two samples
 * @param ageUs the time since the last sample, microseconds, as known to the sender; excludes the time in transit
 */
public record LatencyReading(String observer, long start, String from, String to, long seq, long rttUs, long ageUs) {
    private static final long MAX_RTT_US = 60_000_000;
    private static final long MAX_AGE_US = 3_600_000_000L;

    /** Validates the components; throws IllegalArgumentException if one is invalid. */
    public LatencyReading {
        Member.checkComponent(
                Member.isName(observer) && Member.isName(from) && Member.isName(to), "name in a latency reading");
        Member.checkComponent(start > 0 && seq > 0, "start or sequence number of a latency reading");
        Member.checkComponent(rttUs > 0 && rttUs <= MAX_RTT_US, "round-trip time");
        Member.checkComponent(ageUs >= 0 && ageUs <= MAX_AGE_US, "age of a latency reading");
    }
}
