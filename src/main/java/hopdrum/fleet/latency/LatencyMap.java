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
 * Estimates the round-trip times between sites from the readings of all members. Each member measures the latency from
 * its own site to the other sites and shares its readings by gossip. Readings are merged by observer and site: the one
 * with the higher sequence number wins, so that the map depends neither on the order of messages nor on lost or
 * repeated messages. The estimate for a pair of sites is the median over its observers, weighted by the age of their
 * readings. Messages carry ages as durations, so that clocks of different members are never compared. Not thread-safe.
 * Times are microseconds of one monotonic clock.
 */
public final class LatencyMap {
    /** The source of an estimate. The values are logged under their names. */
    public enum Kind {
        /** Measured by this member. */
        SEEN,
        /** Measured by enough other members to outvote a wrong reading of one of them. */
        MEASURED,
        /** Measured by too few other members to outvote a wrong reading of one of them. */
        TOLD,
        /** Measured by no member: derived from the latencies to third sites. */
        ESTIMATED
    }

    /**
     * The estimated latency between two sites.
     *
     * @param rttUs the round-trip time, microseconds
     * @param confidence the confidence in the estimate, from 0 (a guess) to 1
     * @param kind the source of the estimate
     * @param ageUs the age of the youngest reading used, microseconds; 0 if no member has measured the latency
     */
    public record LatencyEstimate(long rttUs, double confidence, Kind kind, long ageUs) {}

    private static final int MAX_READINGS = 5_000;
    private static final int READINGS_PER_MESSAGE = 16;
    private static final int MAX_OUTSTANDING_PROBES = 64;
    private static final long MAX_AGE_US = 60_000_000; // older readings are discarded
    private static final int MIN_OBSERVERS = 3; // the fewest observers that outvote one wrong observer
    private static final double MAX_SINGLE_OBSERVER_FACTOR = 2; // limits what a single observer can change
    private static final double SINGLE_OBSERVER_CONFIDENCE = 0.3;
    private static final double DERIVED_CONFIDENCE = 0.5;
    private static final int HALF_LIFE_PERIODS = 3; // a newer reading usually arrives within three periods

    /** The samples that this member has taken of its latency to one site. */
    private static final class SiteSamples {
        long previousUs;
        long previousAtUs = Long.MIN_VALUE / 2;
        long minUs = Long.MAX_VALUE; // over all samples: approximates the propagation delay of the path
        long lastSequence;
    }

    private record ReadingKey(String observer, String to) {}

    private record StoredReading(LatencyReading reading, long measuredAtUs) {}

    private record OutstandingProbe(Member peer, long sentAtUs) {}

    private record WeightedValue(double value, double weight) {}

    private final Member self;
    private final long halfLifeUs; // of a reading's weight
    private final Map<String, SiteSamples> samplesBySite = new HashMap<>(); // one entry for each site
    private final Map<ReadingKey, StoredReading> readings = new HashMap<>(); // bounded by age and MAX_READINGS
    private final Map<Long, OutstandingProbe> outstandingProbes = new LinkedHashMap<>(); // by sequence; bounded
    private final Map<String, Long> lastProbeAtUsBySite = new HashMap<>(); // one entry for each site
    private long lastProbeSequence;

    /**
     * Creates an empty map.
     *
     * @param self the member that measures
     * @param periodUs the probe period, microseconds; the weight of a reading halves every three periods
     */
    public LatencyMap(Member self, long periodUs) {
        this.self = self;
        this.halfLifeUs = HALF_LIFE_PERIODS * periodUs;
    }

    // ---- Measuring and sharing ----

    /**
     * Records that a probe is being sent to a peer. Beyond 64 outstanding probes, the oldest is discarded.
     *
     * @param peer the member to which the probe is sent
     * @param nowUs the present time, microseconds
     * @return the sequence number of the probe, for {@link #completeProbe}
     */
    public long startProbe(Member peer, long nowUs) {
        if (outstandingProbes.size() >= MAX_OUTSTANDING_PROBES) {
            outstandingProbes.remove(outstandingProbes.keySet().iterator().next());
        }
        outstandingProbes.put(++lastProbeSequence, new OutstandingProbe(peer, nowUs));
        lastProbeAtUsBySite.put(peer.site(), nowUs);
        return lastProbeSequence;
    }

    /**
     * Returns when a probe was last sent to a member at a site.
     *
     * @param site the site
     * @return the time of the last probe, microseconds; a time far in the past if no probe was sent there
     */
    public long lastProbeAtUs(String site) {
        return lastProbeAtUsBySite.getOrDefault(site, Long.MIN_VALUE / 2);
    }

    /**
     * Completes a probe and adds its round-trip time as a sample. An answer that matches no outstanding probe to this
     * peer is ignored.
     *
     * @param peer the member that answered
     * @param sequence the sequence number of the probe
     * @param nowUs the present time, microseconds
     */
    public void completeProbe(Member peer, long sequence, long nowUs) {
        OutstandingProbe probe = outstandingProbes.remove(sequence);
        if (probe != null && probe.peer.isSameStart(peer)) {
            addSample(peer, nowUs - probe.sentAtUs, nowUs);
        }
    }

    /** Discards all outstanding probes; used after a pause of this process, which their round trips would include. */
    public void discardOutstandingProbes() {
        outstandingProbes.clear();
    }

    /**
     * Adds a sample of the round-trip time to a peer's site. The reading is the lesser of the last two samples, because
     * a single delay in a sender, a receiver or a congested link is not part of the path's latency, and no error makes
     * a path look shorter than it is.
     *
     * @param peer the member that answered
     * @param rttUs the round-trip time, microseconds; ignored unless above 0 and at most 60 s
     * @param nowUs the present time, microseconds
     */
    public void addSample(Member peer, long rttUs, long nowUs) {
        if (rttUs <= 0 || rttUs > MAX_AGE_US) {
            return;
        }
        SiteSamples samples = samplesBySite.computeIfAbsent(peer.site(), site -> new SiteSamples());
        long readingUs = nowUs - samples.previousAtUs < 2 * halfLifeUs ? Math.min(rttUs, samples.previousUs) : rttUs;
        samples.previousUs = rttUs;
        samples.previousAtUs = nowUs;
        samples.minUs = Math.min(samples.minUs, rttUs);
        store(
                new LatencyReading(
                        self.name(), self.start(), self.site(), peer.site(), ++samples.lastSequence, readingUs, 0),
                nowUs);
    }

    /**
     * Merges readings that a peer has measured or received. Readings under this member's own name are ignored.
     *
     * @param received the readings in the peer's message
     * @param nowUs the present time, microseconds
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
        boolean newer = known == null
                || reading.start() > known.reading.start()
                || (sameStart && reading.seq() > known.reading.seq());
        if (newer) {
            readings.put(key, new StoredReading(reading, measuredAtUs));
        } else if (sameStart && reading.seq() == known.reading.seq() && measuredAtUs < known.measuredAtUs) {
            // A reading's age excludes transit times and so is too low: the greatest age received is the closest.
            readings.put(key, new StoredReading(known.reading, measuredAtUs));
        }
    }

    /**
     * Returns the readings to send to a peer, and discards those that are too old.
     *
     * @param nowUs the present time, microseconds
     * @return the youngest readings, 16 at most, with their present ages
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
     * Estimates the latency between two sites; the direction does not matter.
     *
     * @param from one site
     * @param to the other site
     * @param nowUs the present time, microseconds
     * @return the estimate; null if the latency is neither measured nor derivable from other latencies
     */
    public LatencyEstimate estimate(String from, String to, long nowUs) {
        List<WeightedValue> values = new ArrayList<>(); // one for each observer
        long youngestAgeUs = Long.MAX_VALUE;
        LatencyReading ownReading = null;
        for (StoredReading stored : readings.values()) {
            LatencyReading reading = stored.reading;
            long ageUs = nowUs - stored.measuredAtUs;
            if (isOfPair(reading, from, to) && ageUs <= MAX_AGE_US) {
                values.add(new WeightedValue(reading.rttUs(), weight(ageUs)));
                youngestAgeUs = Math.min(youngestAgeUs, ageUs);
                if (reading.observer().equals(self.name())) {
                    ownReading = reading;
                }
            }
        }
        boolean needsDerived = values.size() < MIN_OBSERVERS && ownReading == null;
        LatencyEstimate derived = needsDerived ? deriveFromThirdSites(from, to, nowUs) : null;
        if (values.isEmpty()) {
            return derived;
        }
        double medianUs = median(values);
        double freshness = weight(youngestAgeUs);
        double disagreement = 1 + relativeSpread(values, medianUs);
        if (ownReading != null) { // never below this member's own minimum: no other member's reading shortens a path
            long minUs = samplesBySite.get(from.equals(self.site()) ? to : from).minUs;
            double rttUs = values.size() >= MIN_OBSERVERS ? medianUs : clamp(medianUs, (double) ownReading.rttUs());
            return new LatencyEstimate(
                    Math.max(minUs, (long) rttUs), freshness / disagreement, Kind.SEEN, youngestAgeUs);
        }
        if (needsDerived) {
            double rttUs = derived == null ? medianUs : clamp(medianUs, (double) derived.rttUs);
            return new LatencyEstimate((long) rttUs, SINGLE_OBSERVER_CONFIDENCE * freshness, Kind.TOLD, youngestAgeUs);
        }
        return new LatencyEstimate((long) medianUs, freshness / disagreement, Kind.MEASURED, youngestAgeUs);
    }

    /**
     * Estimates the latencies from this member's site to other sites.
     *
     * @param sites the sites to estimate the latency to
     * @param nowUs the present time, microseconds
     * @return the estimates by site, sorted by site; sites without an estimate are missing
     */
    public Map<String, LatencyEstimate> estimatesFromOwnSite(Collection<String> sites, long nowUs) {
        Map<String, LatencyEstimate> estimates = new TreeMap<>();
        for (String site : sites) {
            LatencyEstimate estimate = estimate(self.site(), site, nowUs);
            if (estimate != null) {
                estimates.put(site, estimate);
            }
        }
        return estimates;
    }

    private static boolean isOfPair(LatencyReading reading, String one, String other) {
        return (reading.from().equals(one) && reading.to().equals(other))
                || (reading.from().equals(other) && reading.to().equals(one));
    }

    /**
     * Limits a value to between half and twice a reference, so that one wrong observer can make a site neither the
     * nearest nor unusable.
     */
    private static double clamp(double value, double reference) {
        return Math.max(
                reference / MAX_SINGLE_OBSERVER_FACTOR, Math.min(reference * MAX_SINGLE_OBSERVER_FACTOR, value));
    }

    /** Returns the weighted median; sorts the list in place. */
    private static double median(List<WeightedValue> values) {
        values.sort(Comparator.comparingDouble(WeightedValue::value));
        double halfWeight = values.stream().mapToDouble(WeightedValue::weight).sum() / 2;
        double cumulativeWeight = 0;
        for (WeightedValue value : values) {
            cumulativeWeight += value.weight;
            if (cumulativeWeight >= halfWeight) {
                return value.value;
            }
        }
        return values.get(values.size() - 1).value;
    }

    /** Returns the weighted median of the relative deviations from the median. */
    private static double relativeSpread(List<WeightedValue> values, double median) {
        List<WeightedValue> deviations = new ArrayList<>();
        values.forEach(value ->
                deviations.add(new WeightedValue(Math.abs(value.value - median) / Math.max(1, median), value.weight)));
        return median(deviations);
    }

    /**
     * Derives a latency from the latencies to third sites, by the triangle inequality: the latency between two sites
     * lies between the difference and the sum of their latencies to a third site. The estimate is the middle of the
     * tightest bounds over all third sites; the tighter the bounds, the higher the confidence. Returns null if no third
     * site has measured latencies to both sites.
     */
    private LatencyEstimate deriveFromThirdSites(String from, String to, long nowUs) {
        Map<String, Double> medians = mediansByPair(nowUs);
        double lowerUs = 0;
        double upperUs = Double.MAX_VALUE;
        for (String third : sitesWithReadings()) {
            Double firstUs = medians.get(pairKey(from, third));
            Double secondUs = medians.get(pairKey(third, to));
            if (!third.equals(from) && !third.equals(to) && firstUs != null && secondUs != null) {
                lowerUs = Math.max(lowerUs, Math.abs(firstUs - secondUs));
                upperUs = Math.min(upperUs, firstUs + secondUs);
            }
        }
        if (upperUs == Double.MAX_VALUE) {
            return null;
        }
        lowerUs = Math.min(lowerUs, upperUs); // if the bounds contradict each other, the upper bound is used
        return new LatencyEstimate(
                Math.max(1, (long) ((lowerUs + upperUs) / 2)),
                DERIVED_CONFIDENCE * lowerUs / upperUs,
                Kind.ESTIMATED,
                0);
    }

    private Set<String> sitesWithReadings() {
        Set<String> sites = new TreeSet<>();
        readings.values().forEach(stored -> {
            sites.add(stored.reading.from());
            sites.add(stored.reading.to());
        });
        return sites;
    }

    private static String pairKey(String one, String other) {
        return one.compareTo(other) < 0 ? one + ">" + other : other + ">" + one;
    }

    /** Returns the weighted median of the readings of each pair of sites. */
    private Map<String, Double> mediansByPair(long nowUs) {
        Map<String, List<WeightedValue>> valuesByPair = new HashMap<>();
        for (StoredReading stored : readings.values()) {
            long ageUs = nowUs - stored.measuredAtUs;
            if (ageUs <= MAX_AGE_US) {
                valuesByPair
                        .computeIfAbsent(pairKey(stored.reading.from(), stored.reading.to()), pair -> new ArrayList<>())
                        .add(new WeightedValue(stored.reading.rttUs(), weight(ageUs)));
            }
        }
        Map<String, Double> medians = new HashMap<>();
        valuesByPair.forEach((pair, values) -> medians.put(pair, median(values)));
        return medians;
    }

    private double weight(long ageUs) {
        return Math.pow(0.5, (double) ageUs / halfLifeUs);
    }
}
