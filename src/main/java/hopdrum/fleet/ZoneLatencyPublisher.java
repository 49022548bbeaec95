package hopdrum.fleet;

import hopdrum.fleet.latency.LatencyMap;
import hopdrum.fleet.latency.LatencyMap.LatencyEstimate;
import hopdrum.host.ZoneLatencies;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Latencies from this front door's site to the backend zones, from the latency map. Updated under the
 * fleet's lock; {@link #current()} may be read from any thread.
 */
final class ZoneLatencyPublisher {
    private static final double MIN_CONFIDENCE = 0.3; // below it: old, contradicted, or from one member only
    private static final double DECREASE_PER_TICK = 0.02; // of the difference, so that load moves slowly

    private final String homeSite;
    private List<String> zones = List.of();
    private double[] publishedUs = {}; // by zone; empty where nothing is published
    private volatile ZoneLatencies current; // null while the estimates are not reliable

    ZoneLatencyPublisher(String homeSite) {
        this.homeSite = homeSite;
    }

    /** Sets the zones, in the settings' order, that {@link #current()} covers from now on. */
    void setZones(List<String> names) {
        zones = List.copyOf(names);
    }

    /** Null where the map lacks a confident estimate for any zone: then placement must ignore latency. */
    ZoneLatencies current() {
        return current;
    }

    /** Recomputes the latencies from the map; a zone that has come nearer is approached slowly. */
    void update(LatencyMap latency, long nowUs) {
        if (zones.isEmpty()) {
            return;
        }
        double[] nextUs = extraLatencies(latency.estimatesFromOwnSite(zones, nowUs));
        if (nextUs.length == 0) {
            current = null;
            publishedUs = nextUs;
            return;
        }
        for (int i = 0; i < nextUs.length && publishedUs.length == nextUs.length; i++) {
            if (nextUs[i] < publishedUs[i]) {
                nextUs[i] = publishedUs[i] + DECREASE_PER_TICK * (nextUs[i] - publishedUs[i]);
            }
        }
        publishedUs = nextUs;
        current = new ZoneLatencies(
                Arrays.stream(nextUs).mapToLong(us -> (long) us).toArray());
    }

    /** By zone, beyond the home site's own latency; empty where a zone's estimate is missing or not confident. */
    private double[] extraLatencies(Map<String, LatencyEstimate> estimates) {
        LatencyEstimate home = estimates.get(homeSite);
        long homeUs = home == null ? 0 : home.rttUs();
        double[] extraUs = new double[zones.size()];
        for (int i = 0; i < extraUs.length; i++) {
            if (zones.get(i).equals(homeSite)) {
                continue;
            }
            LatencyEstimate estimate = estimates.get(zones.get(i));
            if (estimate == null || estimate.confidence() <= MIN_CONFIDENCE) {
                return new double[0];
            }
            extraUs[i] = Math.max(0, estimate.rttUs() - homeUs);
        }
        return extraUs;
    }
}
