package hopdrum.rig.trial;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The faults of all fleet links of one trial. Thread-safe. */
final class NetworkFaults {
    /** One direction between two members of the fleet, by the names that they have in it. */
    private record Link(String from, String to) {}

    private final Map<Link, LinkFaults> links = new ConcurrentHashMap<>();
    private final Map<String, Double> latencyFactors = new ConcurrentHashMap<>(); // by member

    LinkFaults linkFaults(String from, String to) {
        return links.computeIfAbsent(new Link(from, to), link -> new LinkFaults());
    }

    /** From now on the latencies that a member says it has measured are so many times what it says. */
    void falsifyLatencies(String member, double factor) {
        latencyFactors.put(member, factor);
    }

    /** By which factor a member's measured latencies are falsified; null if they are not. */
    Double latencyFactor(String member) {
        return latencyFactors.get(member);
    }

    /** Ends all faults. */
    void clear() {
        latencyFactors.clear();
        links.values().forEach(LinkFaults::clear);
    }
}
