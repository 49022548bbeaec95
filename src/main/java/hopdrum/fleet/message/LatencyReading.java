package hopdrum.fleet.message;

/**
 * The latency that one member has measured between its site and another.
 *
 * @param observer the name of the member that measured
 * @param start the observer's start number
 * @param from the observer's site
 * @param to the other site
 * @param seq grows with each reading of this observer's start; the higher one wins
 * @param rttUs recent round-trip time, microseconds: the lesser of the last two samples
 * @param ageUs since its last sample, microseconds, as far as the sender knows; transit times are not in it
 */
public record LatencyReading(String observer, long start, String from, String to, long seq, long rttUs, long ageUs) {
    private static final long MAX_RTT_US = 60_000_000;
    private static final long MAX_AGE_US = 3_600_000_000L;

    /** Checks the components; throws IllegalArgumentException where one cannot be. */
    public LatencyReading {
        Member.check(Member.isName(observer) && Member.isName(from) && Member.isName(to), "a reading's name");
        Member.check(start > 0 && seq > 0, "a reading's number");
        Member.check(rttUs > 0 && rttUs <= MAX_RTT_US, "a latency");
        Member.check(ageUs >= 0 && ageUs <= MAX_AGE_US, "an age");
    }
}
