package hopdrum.fleet;

import hopdrum.fleet.latency.LatencyMap;
import hopdrum.fleet.latency.LatencyMap.LatencyEstimate;
import hopdrum.host.ZoneLatencies;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Publishes the latencies from this front door's site to the zones of backends, as the latency map estimates them.
 * Latencies are updated under the fleet member's lock; {@link #currentLatencies()} may be called from any thread.
 */
final class ZoneLatencyPublisher {
    /** Excludes estimates from old or contradictory readings and from the readings of a single member. */
    private static final double MIN_CONFIDENCE = 0.3;

    /** The fraction of a decrease that is published in each tick; small, so that load shifts slowly. */
    private static final double DECREASE_PER_TICK = 0.02;

    private final String homeSite;
    private List<String> zones = List.of();
    private double[] publishedUs = {}; // by zone; empty if no latencies are published
    private volatile ZoneLatencies currentLatencies; // null if any estimate is missing or not confident

    ZoneLatencyPublisher(String homeSite) {
        this.homeSite = homeSite;
    }

    /** Sets the zones, in the order of the settings, that the latencies cover from now on. */
    void setZones(List<String> names) {
        zones = List.copyOf(names);
    }

    /**
     * Returns the latest latencies; null if any zone lacks a confident estimate, in which case the choice of backends
     * must ignore latencies. Does not block.
     */
    ZoneLatencies currentLatencies() {
        return currentLatencies;
    }

    /** Updates the latencies from the map. An increase is published at once, a decrease gradually. */
    void updateLatencies(LatencyMap latencyMap, long nowUs) {
        if (zones.isEmpty()) {
            return;
        }
        double[] nextUs = extraLatenciesUs(latencyMap.estimatesFromOwnSite(zones, nowUs));
        if (nextUs.length == 0) {
            currentLatencies = null;
            publishedUs = nextUs;
            return;
        }
        for (int i = 0; i < nextUs.length && publishedUs.length == nextUs.length; i++) {
            if (nextUs[i] < publishedUs[i]) {
                nextUs[i] = publishedUs[i] + DECREASE_PER_TICK * (nextUs[i] - publishedUs[i]);
            }
        }
        publishedUs = nextUs;
        currentLatencies = new ZoneLatencies(
                Arrays.stream(nextUs).mapToLong(us -> (long) us).toArray());
    }

    /**
     * Returns by how many microseconds the latency to each zone exceeds the latency within the home site; empty if any
     * zone lacks a confident estimate.
     */
    private double[] extraLatenciesUs(Map<String, LatencyEstimate> estimates) {
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
