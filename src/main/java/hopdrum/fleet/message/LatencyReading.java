package hopdrum.fleet.message;

/**
 * What one member has measured of the way between its site and another.
 *
 * @param from the observer's site
 * @param seq grows with each reading of this observer's start; the higher one stands
 * @param rttUs of late: the median of its last samples
 * @param ageUs since its last sample, as far as the sender knows; ways between members are not in it
 */
public record LatencyReading(String observer, long start, String from, String to, long seq, long rttUs, long ageUs) {
    private static final long MOST_US = 60_000_000;
    private static final long OLDEST_US = 3_600_000_000L;

    public LatencyReading {
        Member.check(Member.isName(observer) && Member.isName(from) && Member.isName(to), "a reading's name");
        Member.check(start > 0 && seq > 0, "a reading's number");
        Member.check(rttUs > 0 && rttUs <= MOST_US, "a latency");
        Member.check(ageUs >= 0 && ageUs <= OLDEST_US, "an age");
    }
}
