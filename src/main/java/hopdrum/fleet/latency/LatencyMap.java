package hopdrum.fleet.latency;

import hopdrum.fleet.message.LatencyReading;
import hopdrum.fleet.message.Member;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Round-trip time estimates between sites, as seen by all members. Each member measures the latency from its own site;
 * readings are shared by gossip and merged by observer and site, the higher sequence number winning, so that any order,
 * loss or repeat of messages gives the same map. For each pair of sites the weighted median over observers counts. Ages
 * travel as durations: no clock is compared with another member's. Not thread-safe. Times are microseconds of one
 * monotonic clock.
 */
public final class LatencyMap {
    /** How an estimate is known. */
    public enum Kind {
        /** Measured by this member itself. */
        SEEN,
        /** Measured by several other members. */
        MEASURED,
        /** Reported by too few other members to outvote a wrong one. */
        TOLD,
        /** Not measured by anybody: derived from the latencies over a third site. */
        ESTIMATED
    }

    /**
     * The estimated latency between two sites.
     *
     * @param rttUs round-trip time, microseconds
     * @param confidence from 0, a guess, to 1
     * @param kind how it is known
     * @param ageUs age of the youngest reading behind it, microseconds; 0 for one that nobody has measured
     */
    public record LatencyEstimate(long rttUs, double confidence, Kind kind, long ageUs) {}

    private static final int MAX_READINGS = 5_000;
    private static final int READINGS_PER_MESSAGE = 16;
    private static final int MAX_OUTSTANDING_PROBES = 64;
    private static final long MAX_AGE_US = 60_000_000; // older readings are dropped
    private static final int QUORUM_OF_OBSERVERS = 3; // the fewest observers of which one wrong one is outvoted
    private static final double MAX_SINGLE_OBSERVER_FACTOR = 2; // how far one observer alone may move an estimate
    private static final double SINGLE_OBSERVER_CONFIDENCE = 0.3;
    private static final double DERIVED_CONFIDENCE = 0.5;
    private static final int HALF_LIFE_PERIODS = 3; // by then there is a fresher reading

    /** This member's own samples to one site. */
    private static final class SiteSamples {
        long previousUs;
        long previousAtUs = Long.MIN_VALUE / 2;
        long minUs = Long.MAX_VALUE; // ever measured: the propagation delay of the path
        long seq;
    }

    private record ReadingKey(String observer, String to) {}

    private record StoredReading(LatencyReading reading, long measuredAtUs) {}

    private record OutstandingProbe(Member peer, long sentAtUs) {}

    private record WeightedValue(double value, double weight) {}

    private final Member self;
    private final long halfLifeUs; // of a reading's weight
    private final Map<String, SiteSamples> samplesBySite = new HashMap<>(); // as many as there are sites
    private final Map<ReadingKey, StoredReading> readings = new HashMap<>(); // bounded by age and MAX_READINGS
    private final Map<Long, OutstandingProbe> outstanding = new LinkedHashMap<>(); // emptied by answers and its bound
    private final Map<String, Long> lastProbeAtUsBySite = new HashMap<>(); // as many as there are sites
    private long lastProbeSeq;

    /**
     * Makes an empty map.
     *
     * @param self the member whose site estimates start from
     * @param periodUs the probe period, microseconds; a reading's weight halves in three of them
     */
    public LatencyMap(Member self, long periodUs) {
        this.self = self;
        this.halfLifeUs = HALF_LIFE_PERIODS * periodUs;
    }

    // ---- Measuring and sharing ----

    /**
     * Notes that a probe is sent to a peer now.
     *
     * @param peer the member that is probed
     * @param nowUs the time, microseconds
     * @return the probe's sequence number, for {@link #completeProbe}
     */
    public long startProbe(Member peer, long nowUs) {
        if (outstanding.size() >= MAX_OUTSTANDING_PROBES) {
            outstanding.remove(outstanding.keySet().iterator().next());
        }
        outstanding.put(++lastProbeSeq, new OutstandingProbe(peer, nowUs));
        lastProbeAtUsBySite.put(peer.site(), nowUs);
        return lastProbeSeq;
    }

    /**
     * Returns when a member of a site was last probed.
     *
     * @param site the site
     * @return the time, microseconds; far in the past where it was never probed
     */
    public long lastProbeAtUs(String site) {
        return lastProbeAtUsBySite.getOrDefault(site, Long.MIN_VALUE / 2);
    }

    /**
     * Takes the answer to a probe as a sample; an answer to no outstanding probe of this peer is ignored.
     *
     * @param peer the peer that answered
     * @param seq the probe's number
     * @param nowUs the time, microseconds
     */
    public void completeProbe(Member peer, long seq, long nowUs) {
        OutstandingProbe probe = outstanding.remove(seq);
        if (probe != null && probe.peer.isSameStart(peer)) {
            addSample(peer, nowUs - probe.sentAtUs, nowUs);
        }
    }

    /** Forgets probes that were sent before this process was paused: their round trips include the pause. */
    public void discardOutstandingProbes() {
        outstanding.clear();
    }

    /**
     * Adds a measured round-trip time to a peer. The lesser of the last two samples counts: a single delay in a sender, a
     * receiver or a congested link is not part of the path's latency, and no error makes a path look shorter.
     *
     * @param peer the member that answered
     * @param rttUs the round-trip time, microseconds; one that cannot be is ignored
     * @param nowUs the time, microseconds
     */
    public void addSample(Member peer, long rttUs, long nowUs) {
        if (rttUs <= 0 || rttUs > MAX_AGE_US) {
            return;
        }
        SiteSamples samples = samplesBySite.computeIfAbsent(peer.site(), site -> new SiteSamples());
        long reading = nowUs - samples.previousAtUs < 2 * halfLifeUs ? Math.min(rttUs, samples.previousUs) : rttUs;
        samples.previousUs = rttUs;
        samples.previousAtUs = nowUs;
        samples.minUs = Math.min(samples.minUs, rttUs);
        store(
                new LatencyReading(self.name(), self.start(), self.site(), peer.site(), ++samples.seq, reading, 0),
                nowUs);
    }

    /**
     * Merges readings that other members have measured or received; readings under this member's own name are ignored.
     *
     * @param received readings of a peer's message
     * @param nowUs the time, microseconds
     */
    public void merge(Collection<LatencyReading> received, long nowUs) {
        for (LatencyReading reading : received) {
            if (!reading.observer().equals(self.name())) {
                store(reading, nowUs);
            }
        }
    }

    private void store(LatencyReading reading, long nowUs) {
        long measuredAtUs = nowUs - reading.ageUs();
        ReadingKey key = new ReadingKey(reading.observer(), reading.to());
        StoredReading known = readings.get(key);
        if (nowUs - measuredAtUs > MAX_AGE_US || (known == null && readings.size() >= MAX_READINGS)) {
            return;
        }
        boolean sameStart = known != null && reading.start() == known.reading.start();
        boolean later = known == null
                || reading.start() > known.reading.start()
                || (sameStart && reading.seq() > known.reading.seq());
        if (later) {
            readings.put(key, new StoredReading(reading, measuredAtUs));
        } else if (sameStart && reading.seq() == known.reading.seq() && measuredAtUs < known.measuredAtUs) {
            // transit time is not in a reading's age, which makes it look younger: the older age is right
            readings.put(key, new StoredReading(known.reading, measuredAtUs));
        }
    }

    /**
     * Returns the readings to send to a peer.
     *
     * @param nowUs the time, microseconds
     * @return the youngest readings, with their ages now
     */
    public List<LatencyReading> readingsToShare(long nowUs) {
        readings.values().removeIf(stored -> nowUs - stored.measuredAtUs > MAX_AGE_US);
        return readings.values().stream()
                .sorted(Comparator.comparingLong((StoredReading stored) -> -stored.measuredAtUs))
                .limit(READINGS_PER_MESSAGE)
                .map(stored -> new LatencyReading(
                        stored.reading.observer(),
                        stored.reading.start(),
                        stored.reading.from(),
                        stored.reading.to(),
                        stored.reading.seq(),
                        stored.reading.rttUs(),
                        Math.max(0, nowUs - stored.measuredAtUs)))
                .toList();
    }

    // ---- Estimates ----

    /**
     * Estimates the latency between two sites, in either direction.
     *
     * @param from one site
     * @param to the other site
     * @param nowUs the time, microseconds
     * @return the estimate; null where nothing is known
     */
    public LatencyEstimate estimate(String from, String to, long nowUs) {
        List<WeightedValue> seen = new ArrayList<>(); // one an observer
        long youngest = Long.MAX_VALUE;
        LatencyReading mine = null;
        for (StoredReading stored : readings.values()) {
            LatencyReading reading = stored.reading;
            long age = nowUs - stored.measuredAtUs;
            if (isOfPair(reading, from, to) && age <= MAX_AGE_US) {
                seen.add(new WeightedValue(reading.rttUs(), weight(age)));
                youngest = Math.min(youngest, age);
                if (reading.observer().equals(self.name())) {
                    mine = reading;
                }
            }
        }
        boolean derives = seen.size() < QUORUM_OF_OBSERVERS && mine == null;
        LatencyEstimate derived = derives ? derive(from, to, nowUs) : null;
        if (seen.isEmpty()) {
            return derived;
        }
        double median = median(seen);
        double freshness = weight(youngest);
        double agreement = 1 + relativeSpread(seen, median);
        if (mine != null) { // never below this member's own minimum: no other member's reading shortens a path
            long minUs = samplesBySite.get(from.equals(self.site()) ? to : from).minUs;
            double value = seen.size() >= QUORUM_OF_OBSERVERS ? median : clampToKnown(median, (double) mine.rttUs());
            return new LatencyEstimate(Math.max(minUs, (long) value), freshness / agreement, Kind.SEEN, youngest);
        }
        if (derives) {
            double value = derived == null ? median : clampToKnown(median, (double) derived.rttUs);
            return new LatencyEstimate((long) value, SINGLE_OBSERVER_CONFIDENCE * freshness, Kind.TOLD, youngest);
        }
        return new LatencyEstimate((long) median, freshness / agreement, Kind.MEASURED, youngest);
    }

    /**
     * Estimates the latencies from this member's site.
     *
     * @param sites the sites to estimate for
     * @param nowUs the time, microseconds
     * @return the estimates by site, sorted; without sites that nothing is known of
     */
    public Map<String, LatencyEstimate> estimatesFromOwnSite(Collection<String> sites, long nowUs) {
        Map<String, LatencyEstimate> all = new TreeMap<>();
        for (String site : sites) {
            LatencyEstimate estimate = estimate(self.site(), site, nowUs);
            if (estimate != null) {
                all.put(site, estimate);
            }
        }
        return all;
    }

    private static boolean isOfPair(LatencyReading reading, String one, String other) {
        return (reading.from().equals(one) && reading.to().equals(other))
                || (reading.from().equals(other) && reading.to().equals(one));
    }

    /** One observer alone neither makes a site the best nor unusable. */
    private static double clampToKnown(double value, double known) {
        return Math.max(known / MAX_SINGLE_OBSERVER_FACTOR, Math.min(known * MAX_SINGLE_OBSERVER_FACTOR, value));
    }

    /** The weighted median; sorts the list. */
    private static double median(List<WeightedValue> values) {
        values.sort(Comparator.comparingDouble(WeightedValue::value));
        double half = values.stream().mapToDouble(WeightedValue::weight).sum() / 2;
        double sum = 0;
        for (WeightedValue value : values) {
            sum += value.weight;
            if (sum >= half) {
                return value.value;
            }
        }
        return values.get(values.size() - 1).value;
    }

    /** The weighted median of the relative deviations from the median. */
    private static double relativeSpread(List<WeightedValue> values, double median) {
        List<WeightedValue> deviations = new ArrayList<>();
        values.forEach(value ->
                deviations.add(new WeightedValue(Math.abs(value.value - median) / Math.max(1, median), value.weight)));
        return median(deviations);
    }

    /**
     * A latency that nobody has measured lies between the difference and the sum of the latencies over a third site. The
     * middle of the tightest such bounds over all third sites is taken, with a confidence by how tight they are; null
     * where no third site has both latencies.
     */
    private LatencyEstimate derive(String from, String to, long nowUs) {
        Map<String, Double> medians = mediansByPair(nowUs);
        double lower = 0;
        double upper = Double.MAX_VALUE;
        for (String over : sites()) {
            Double first = medians.get(pairKey(from, over));
            Double second = medians.get(pairKey(over, to));
            if (!over.equals(from) && !over.equals(to) && first != null && second != null) {
                lower = Math.max(lower, Math.abs(first - second));
                upper = Math.min(upper, first + second);
            }
        }
        if (upper == Double.MAX_VALUE) {
            return null;
        }
        lower = Math.min(lower, upper); // where measurements contradict each other, the shorter detour stands
        return new LatencyEstimate(
                Math.max(1, (long) ((lower + upper) / 2)), DERIVED_CONFIDENCE * lower / upper, Kind.ESTIMATED, 0);
    }

    private Set<String> sites() {
        Set<String> all = new TreeSet<>();
        readings.values().forEach(stored -> {
            all.add(stored.reading.from());
            all.add(stored.reading.to());
        });
        return all;
    }

    private static String pairKey(String one, String other) {
        return one.compareTo(other) < 0 ? one + ">" + other : other + ">" + one;
    }

    /** The weighted median of each pair of sites that anybody has measured. */
    private Map<String, Double> mediansByPair(long nowUs) {
        Map<String, List<WeightedValue>> seen = new HashMap<>();
        for (StoredReading stored : readings.values()) {
            long age = nowUs - stored.measuredAtUs;
            if (age <= MAX_AGE_US) {
                seen.computeIfAbsent(pairKey(stored.reading.from(), stored.reading.to()), pair -> new ArrayList<>())
                        .add(new WeightedValue(stored.reading.rttUs(), weight(age)));
            }
        }
        Map<String, Double> medians = new HashMap<>();
        seen.forEach((pair, values) -> medians.put(pair, median(values)));
        return medians;
    }

    private double weight(long ageUs) {
        return Math.pow(0.5, (double) ageUs / halfLifeUs);
    }
}
