package hopdrum.rig.simulation;

import hopdrum.fleet.latency.LatencyMap.LatencyEstimate;
import hopdrum.fleet.message.LatencyReading;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.view.FleetTiming;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Prints the figures on the latency map in docs/fleet.md: the errors of estimates, and the time to notice a change. */
public final class LatencyMapAccuracyReport {
    private static final long SECOND_US = 1_000_000;
    private static final FleetTiming TIMING = new FleetTiming(SECOND_US, 10 * SECOND_US, 3_600 * SECOND_US);
    private static final int DEFAULT_SEEDS = 10;
    private static final int FIRST_ERROR_SEED = 500;
    private static final int FIRST_CHANGE_SEED = 900;
    private static final int[] SAMPLE_TIMES_S = {5, 10, 20, 40};
    private static final String FAULTY_MEMBER = "m007";

    private LatencyMapAccuracyReport() {}

    /**
     * Prints the tables.
     *
     * @param args the number of seeds of each row; 10 if omitted
     */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
        System.out.println("| what | after | error, median | p90 | unknown |");
        System.out.println("| --- | --- | --- | --- | --- |");
        printErrors("all pairs of sites measured", seeds, false, sites -> {});
        printErrors(
                "one pair of sites cut off from each other: that pair",
                seeds,
                true,
                sites -> sites.fleet.setLinkFilter((from, to) -> !sites.isOnCutPair(from, to)));
        printErrors(
                "one of 20 members reports a tenth of the latency it measures",
                seeds,
                false,
                sites -> sites.fleet.setMessageRewriter(LatencyMapAccuracyReport::falsifyReadings));
        printTimeToDetectChange(seeds);
    }

    private static void printErrors(String label, int seeds, boolean onlyCutPair, Consumer<MultiSiteFleet> fault) {
        List<EstimateErrors> errors = new ArrayList<>();
        Arrays.stream(SAMPLE_TIMES_S).forEach(time -> errors.add(new EstimateErrors()));
        for (int seed = 0; seed < seeds; seed++) {
            MultiSiteFleet sites = new MultiSiteFleet(FIRST_ERROR_SEED + seed);
            fault.accept(sites);
            sites.startAll();
            int lastS = 0;
            for (int i = 0; i < SAMPLE_TIMES_S.length; i++) {
                sites.fleet.runFor((SAMPLE_TIMES_S[i] - lastS) * SECOND_US);
                lastS = SAMPLE_TIMES_S[i];
                sites.addErrors(onlyCutPair, errors.get(i));
            }
        }
        for (int i = 0; i < SAMPLE_TIMES_S.length; i++) {
            System.out.println("| " + label + " | " + SAMPLE_TIMES_S[i] + " s | " + errors.get(i) + " |");
        }
    }

    private static void printTimeToDetectChange(int seeds) {
        double[] detectionS = new double[seeds];
        for (int seed = 0; seed < seeds; seed++) {
            MultiSiteFleet sites = new MultiSiteFleet(FIRST_CHANGE_SEED + seed);
            FleetSimulation fleet = sites.fleet;
            sites.startAll();
            fleet.runFor(40 * SECOND_US);
            sites.slowDownOneSite();
            long fromUs = fleet.nowUs();
            detectionS[seed] = fleet.runUntil(60 * SECOND_US, sites::isSlowSiteKnownToAllMembers)
                    ? (fleet.nowUs() - fromUs) / 1e6
                    : Double.POSITIVE_INFINITY;
        }
        Arrays.sort(detectionS);
        System.out.printf(
                Locale.ROOT,
                "%nOne site's links ten times slower: all estimates from and to it within a quarter of the true value, "
                        + "at all members, after %.1f s (median), %.1f s (worst), of %d seeds.%n",
                detectionS[seeds / 2],
                detectionS[seeds - 1],
                seeds);
    }

    /** Returns the message that the faulty member sends, whose own readings are a tenth of the measured round trips. */
    private static Message falsifyReadings(String from, Message message) {
        if (from.equals(FAULTY_MEMBER) && message instanceof Message.LatencyExchange exchange) {
            return new Message.LatencyExchange(
                    exchange.seq(),
                    exchange.answer(),
                    exchange.readings().stream()
                            .map(reading -> reading.observer().equals(from) ? tenthOf(reading) : reading)
                            .toList());
        }
        return message;
    }

    private static LatencyReading tenthOf(LatencyReading reading) {
        return new LatencyReading(
                reading.observer(),
                reading.start(),
                reading.from(),
                reading.to(),
                reading.seq(),
                Math.max(1, reading.rttUs() / 10),
                reading.ageUs());
    }

    /** The errors of the members' estimates relative to the true round trips, and the number of missing estimates. */
    private static final class EstimateErrors {
        private final List<Double> relativeErrors = new ArrayList<>();
        private int unknown;

        void add(LatencyEstimate estimate, long trueRttUs) {
            if (estimate == null) {
                unknown++;
            } else {
                relativeErrors.add(Math.abs(estimate.rttUs() - trueRttUs) / (double) trueRttUs);
            }
        }

        @Override
        public String toString() {
            double[] sorted = relativeErrors.stream()
                    .mapToDouble(Double::doubleValue)
                    .sorted()
                    .toArray();
            return sorted.length == 0
                    ? "- | - | " + unknown
                    : String.format(
                            Locale.ROOT,
                            "%.3f | %.3f | %d",
                            sorted[sorted.length / 2],
                            sorted[sorted.length * 9 / 10],
                            unknown);
        }
    }

    /** A fleet of four members at each of five sites at random positions, and the true latencies between the sites. */
    private static final class MultiSiteFleet {
        private static final int SITES = 5;
        private static final int MEMBERS_PER_SITE = 4;
        private static final int FOUNDERS = 5;
        private static final int SLOW_SITE = 2;
        private static final double SLOW_FACTOR = 10;
        private static final long STEP_US = 500;
        private static final double PLANE_SIDE_MS = 60;
        private static final double RTT_WITHIN_SITE_MS = 0.3;
        private static final double MIN_RTT_BETWEEN_SITES_MS = 2;
        private static final long RTT_OVERHEAD_US = 1_000; // mean addition of link delays and steps to a round trip

        private record Point(double x, double y) {}

        final FleetSimulation fleet;
        private final Map<String, Long> oneWayDelayUs = new HashMap<>();
        private boolean siteSlowed;

        MultiSiteFleet(long seed) {
            drawSites(new SplittableRandom(seed));
            fleet = new FleetSimulation(SITES * MEMBERS_PER_SITE, FOUNDERS, TIMING, seed);
            fleet.setStepUs(STEP_US);
            fleet.setMeanDelayUs(STEP_US);
            fleet.nodes().forEach(node -> node.setSite(siteOf(node.name())));
            fleet.setExtraDelayUs((from, to) -> oneWayDelayUs(siteOf(from), siteOf(to)));
        }

        private void drawSites(SplittableRandom random) {
            List<Point> positions = new ArrayList<>();
            for (int i = 0; i < SITES; i++) {
                positions.add(new Point(random.nextDouble() * PLANE_SIDE_MS, random.nextDouble() * PLANE_SIDE_MS));
            }
            for (int i = 0; i < SITES; i++) {
                for (int j = 0; j < SITES; j++) {
                    double rttMs = RTT_WITHIN_SITE_MS;
                    if (i != j) {
                        Point from = positions.get(i);
                        Point to = positions.get(j);
                        double detour = 1 + 0.2 * random.nextDouble();
                        rttMs = MIN_RTT_BETWEEN_SITES_MS + Math.hypot(from.x - to.x, from.y - to.y) * detour;
                    }
                    oneWayDelayUs.merge(pair(site(i), site(j)), (long) (rttMs * 1000 / 2), Math::max);
                }
            }
        }

        private static String pair(String one, String other) {
            return one.compareTo(other) < 0 ? one + other : other + one;
        }

        private static String site(int number) {
            return "s" + number;
        }

        private static String siteOf(String member) {
            return site(Integer.parseInt(member.substring(1)) % SITES);
        }

        void startAll() {
            fleet.nodes().forEach(node -> fleet.start(node, false));
        }

        /** Returns whether one member is at the first site and the other member at the second. */
        boolean isOnCutPair(String member, String other) {
            return pair(siteOf(member), siteOf(other)).equals(pair(site(0), site(1)));
        }

        /** Makes all latencies from and to one site ten times as long. */
        void slowDownOneSite() {
            siteSlowed = true;
        }

        private long oneWayDelayUs(String from, String to) {
            long us = oneWayDelayUs.get(pair(from, to));
            boolean isSlow =
                    siteSlowed && !from.equals(to) && (from.equals(site(SLOW_SITE)) || to.equals(site(SLOW_SITE)));
            return isSlow ? (long) (us * SLOW_FACTOR) : us;
        }

        private long trueRttUs(String from, String to) {
            return 2 * oneWayDelayUs(from, to) + RTT_OVERHEAD_US;
        }

        private LatencyEstimate estimate(SimulatedNode node, String from, String to) {
            return node.membership().latencyMap().estimate(from, to, fleet.nowUs());
        }

        /** Adds the errors of all members' estimates, or only of those between the first two sites. */
        void addErrors(boolean onlyCutPair, EstimateErrors errors) {
            for (SimulatedNode node : fleet.nodes()) {
                for (int i = 0; i < SITES; i++) {
                    for (int j = 0; j < i; j++) {
                        if (!onlyCutPair || (i == 1 && j == 0)) {
                            errors.add(estimate(node, site(i), site(j)), trueRttUs(site(i), site(j)));
                        }
                    }
                }
            }
        }

        /** Returns whether all members' estimates from the slow site are within a quarter of the true round trip. */
        boolean isSlowSiteKnownToAllMembers() {
            for (SimulatedNode node : fleet.nodes()) {
                for (int i = 0; i < SITES; i++) {
                    if (i == SLOW_SITE) {
                        continue;
                    }
                    LatencyEstimate estimate = estimate(node, site(SLOW_SITE), site(i));
                    long trueRttUs = trueRttUs(site(SLOW_SITE), site(i));
                    if (estimate == null || Math.abs(estimate.rttUs() - trueRttUs) > trueRttUs / 4.0) {
                        return false;
                    }
                }
            }
            return true;
        }
    }
}
