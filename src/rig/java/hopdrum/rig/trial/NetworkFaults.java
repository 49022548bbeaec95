package hopdrum.rig.trial;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The faults of all fleet links of one trial. Thread-safe. */
final class NetworkFaults {
    /** One direction of the link between two members of the fleet, by their member names. */
    private record Link(String from, String to) {}

    private final Map<Link, LinkFaults> links = new ConcurrentHashMap<>();
    private final Map<String, Double> latencyFactors = new ConcurrentHashMap<>(); // by member

    /** Returns the faults of one direction of a link; their later changes take effect at once. */
    LinkFaults linkFaults(String from, String to) {
        return links.computeIfAbsent(new Link(from, to), link -> new LinkFaults());
    }

    /** Multiplies by a factor the latencies that a member reports as measured by itself, from now on. */
    void falsifyLatencies(String member, double factor) {
        latencyFactors.put(member, factor);
    }

    /** Returns the factor that falsifies a member's measured latencies; null if they are not falsified. */
    Double latencyFactor(String member) {
        return latencyFactors.get(member);
    }

    /** Ends the faults of all links and the falsification of latencies. */
    void clear() {
        latencyFactors.clear();
        links.values().forEach(LinkFaults::clear);
    }
}
