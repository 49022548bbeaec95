package hopdrum.fleet;

import hopdrum.fleet.latency.LatencyMap;
import hopdrum.host.ZoneLatencies;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * How far the zones that backends stand in are from this front door's site, from the latency map. Updated under the
 * fleet's lock; {@link #current()} may be read from any thread.
 */
final class ZoneLatencyPublisher {
    private static final double LEAST_SURE = 0.3; // below, a way is old, contradicted, or one member's word
    private static final double SHORTER =
            0.02; // of the difference, a tick: nobody turns to a site at once that has come near

    private final String homeSite;
    private List<String> zones = List.of();
    private double[] shown = {}; // by zone, as last handed out
    private volatile ZoneLatencies distances; // null: not to be gone by

    ZoneLatencyPublisher(String homeSite) {
        this.homeSite = homeSite;
    }

    /** The zones in the settings' order; from now on {@link #current()} tells how far they are. */
    void setZones(List<String> names) {
        zones = List.copyOf(names);
    }

    /** Null where the map does not know all zones, or not surely: then nothing is gone by. */
    ZoneLatencies current() {
        return distances;
    }

    /** Recomputes the distances from the map; a zone that has come nearer is approached slowly. */
    void update(LatencyMap latency, long nowUs) {
        if (zones.isEmpty()) {
            return;
        }
        Map<String, LatencyMap.Way> ways = latency.fromHere(zones, nowUs);
        LatencyMap.Way home = ways.get(homeSite);
        double[] next = new double[zones.size()];
        for (int i = 0; i < next.length; i++) {
            LatencyMap.Way way = ways.get(zones.get(i));
            if (!zones.get(i).equals(homeSite) && (way == null || way.sure() <= LEAST_SURE)) {
                distances = null;
                shown = new double[0];
                return;
            }
            next[i] = zones.get(i).equals(homeSite) ? 0 : Math.max(0, way.rttUs() - (home == null ? 0 : home.rttUs()));
        }
        for (int i = 0; i < next.length && shown.length == next.length; i++) {
            next[i] = next[i] < shown[i] ? shown[i] + SHORTER * (next[i] - shown[i]) : next[i];
        }
        shown = next;
        distances =
                new ZoneLatencies(Arrays.stream(next).mapToLong(d -> (long) d).toArray());
    }
}
