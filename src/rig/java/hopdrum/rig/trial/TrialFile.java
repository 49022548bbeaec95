package hopdrum.rig.trial;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A trial as its file describes it; docs/trials.md has the form.
 *
 * @param about one sentence
 * @param probePeriodMs the fleet's probe period
 * @param leaseMs the fleet's lease duration
 * @param backends the backends of each operator at each site
 * @param placement how the doors choose sites
 * @param load what clients send
 * @param lengthMs when the trial ends, after its begin
 * @param shards how customers are shared between operators
 * @param frontDoors the processes
 * @param delaysMs one way between two sites, as it is written
 * @param founders the names of the members of the fleet's first view
 * @param warm doors that are settled before the trial begins
 * @param steps in the order of their times
 */
record TrialFile(
        String about,
        int probePeriodMs,
        int leaseMs,
        Backends backends,
        String placement,
        Load load,
        long lengthMs,
        Shards shards,
        List<FrontDoor> frontDoors,
        Map<SitePair, Double> delaysMs,
        List<String> founders,
        List<String> warm,
        List<Step> steps) {

    /**
     * One process.
     *
     * @param name its name in the trial
     * @param operator whose it is
     * @param site where it is
     * @param memberName its name in the fleet
     * @param injectedFault the fault that it has on purpose; empty: none
     */
    record FrontDoor(String name, String operator, String site, String memberName, String injectedFault) {}

    /**
     * Backends of one operator at one site.
     *
     * @param count how many
     * @param workMs how long an RPC takes
     * @param slots how many RPCs a backend executes at once; 0: any number
     */
    record Backends(int count, int workMs, int slots) {}

    /**
     * What clients send, and each customer's plan.
     *
     * @param requestsPerSecond of all clients together; 0: there are none
     * @param customers how many
     * @param rate a customer's quota, RPCs a second
     * @param burst a customer's burst, RPCs
     * @param ceilingRate a customer's ceiling over all operators, RPCs a second; 0: none
     * @param ceilingBurst the ceiling's burst, RPCs
     * @param deadlineMs the deadline of each RPC; the soft deadline is half of it
     * @param frontDoors the doors that clients connect to
     */
    record Load(
            double requestsPerSecond,
            int customers,
            double rate,
            double burst,
            double ceilingRate,
            double ceilingBurst,
            int deadlineMs,
            List<String> frontDoors) {

        Load withFrontDoors(List<String> entryFrontDoors) {
            return new Load(
                    requestsPerSecond, customers, rate, burst, ceilingRate, ceilingBurst, deadlineMs, entryFrontDoors);
        }
    }

    /**
     * How customers are shared between operators.
     *
     * @param count how many shards; 0: each customer belongs to one operator
     * @param maxAloneMs how long an operator may act without the others
     * @param terms by operator: its terms at the start
     */
    record Shards(int count, int maxAloneMs, Map<String, Map<String, Object>> terms) {
        boolean isUsed() {
            return count > 0;
        }
    }

    /** Two sites, as a delay between them is written: {@code first-second}. */
    record SitePair(String first, String second) {
        SitePair reversed() {
            return new SitePair(second, first);
        }

        @Override
        public String toString() {
            return first + "-" + second;
        }
    }

    /**
     * Reads a trial file.
     *
     * @param seed of the faults that are drawn at random
     * @throws InvalidTrialFileException if the file cannot be used, with all its faults
     */
    static TrialFile read(Path file, long seed) throws IOException {
        return new TrialFileParser(file).parse(seed);
    }

    /** The door of this name; there is one. */
    FrontDoor frontDoor(String name) {
        return frontDoors.stream()
                .filter(frontDoor -> frontDoor.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** All sites that have doors, sorted. */
    TreeSet<String> sites() {
        return new TreeSet<>(frontDoors.stream().map(FrontDoor::site).toList());
    }

    /** The delay between two sites, one way, in milliseconds. */
    double delayMs(String fromSite, String toSite) {
        SitePair pair = new SitePair(fromSite, toSite);
        return delaysMs.getOrDefault(pair, delaysMs.getOrDefault(pair.reversed(), 0.0));
    }
}
