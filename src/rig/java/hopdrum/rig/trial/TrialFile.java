package hopdrum.rig.trial;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A trial as its file describes it; docs/trials.md describes the format.
 *
 * @param about a sentence that describes the trial
 * @param probePeriodMs the fleet's probe period
 * @param leaseMs the fleet's lease duration
 * @param backends the backends of each operator at each site
 * @param placement how the front doors choose a site for a request
 * @param load what clients send
 * @param lengthMs the trial's duration from its begin to its end
 * @param shards how customers are shared between operators
 * @param frontDoors the processes
 * @param delaysMs the one-way delay between two sites, by the pair as the file has it
 * @param founders the member names of the fleet's first view
 * @param warmFrontDoors the front doors that are started and have a common view before the trial begins
 * @param steps the steps in the order of their times
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
        List<String> warmFrontDoors,
        List<Step> steps) {

    /**
     * One process.
     *
     * @param name the name in the trial
     * @param operator the operator that runs the front door
     * @param site the site of the front door
     * @param memberName the member name in the fleet
     * @param injectedFault the front door's deliberate fault; empty for none
     */
    record FrontDoor(String name, String operator, String site, String memberName, String injectedFault) {}

    /**
     * The backends of one operator at one site.
     *
     * @param count the number of backends
     * @param workMs the execution time of a request
     * @param slots the number of requests that a backend executes at once; 0 for no limit
     */
    record Backends(int count, int workMs, int slots) {}

    /**
     * What clients send, and each customer's plan.
     *
     * @param requestsPerSecond the rate of all clients together; 0 for no clients
     * @param customers the number of customers
     * @param rate a customer's quota in requests per second
     * @param burst a customer's burst in requests
     * @param ceilingRate a customer's ceiling over all operators in requests per second; 0 for no ceiling
     * @param ceilingBurst the burst of the ceiling in requests
     * @param deadlineMs the deadline of each request; the soft deadline is half of it
     * @param frontDoors the names of the front doors that clients connect to
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

        /** Returns the same load sent to these front doors. */
        Load withFrontDoors(List<String> entryFrontDoors) {
            return new Load(
                    requestsPerSecond, customers, rate, burst, ceilingRate, ceilingBurst, deadlineMs, entryFrontDoors);
        }
    }

    /**
     * How customers are shared between operators.
     *
     * @param count the number of shards; 0 if each customer belongs to one operator
     * @param maxAloneMs how long an operator may act without contact to the others
     * @param terms by operator: the operator's terms at the start
     */
    record Shards(int count, int maxAloneMs, Map<String, Map<String, Object>> terms) {
        /** Returns whether customers are shared between operators at all. */
        boolean isUsed() {
            return count > 0;
        }
    }

    /** Two sites, as the key of a delay between them is written: {@code first-second}. */
    record SitePair(String first, String second) {
        /** Returns the pair in the other order. */
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
     * @param seed the seed of the faults that are drawn at random
     * @throws InvalidTrialFileException if the file cannot be used; the message has all errors in the file
     * @throws IOException if the file cannot be read
     */
    static TrialFile read(Path file, long seed) throws IOException {
        return new TrialFileParser(file).parse(seed);
    }

    /**
     * Returns the front door of this name.
     *
     * @throws java.util.NoSuchElementException if there is none
     */
    FrontDoor frontDoor(String name) {
        return frontDoors.stream()
                .filter(frontDoor -> frontDoor.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Returns all sites that have front doors, sorted by name. */
    TreeSet<String> sites() {
        return new TreeSet<>(frontDoors.stream().map(FrontDoor::site).toList());
    }

    /** Returns the one-way delay between two sites in milliseconds, in either direction; 0 if the file has none. */
    double delayMs(String fromSite, String toSite) {
        SitePair pair = new SitePair(fromSite, toSite);
        return delaysMs.getOrDefault(pair, delaysMs.getOrDefault(pair.reversed(), 0.0));
    }
}
