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

/** Prints docs/fleet.md's tables on the latency map: its error against the truth, and how soon a new truth is known. */
public final class LatencyMapAccuracyReport {
    private static final long SECOND_US = 1_000_000;
    private static final FleetTiming TIMING = new FleetTiming(SECOND_US, 10 * SECOND_US, 3_600 * SECOND_US);
    private static final int DEFAULT_SEEDS = 10;
    private static final int FIRST_ERROR_SEED = 500;
    private static final int FIRST_CHANGE_SEED = 900;
    private static final int[] MOMENTS_S = {5, 10, 20, 40};
    private static final String LIAR = "m007";

    private LatencyMapAccuracyReport() {}

    /**
     * Prints the tables.
     *
     * @param args how many seeds each row takes, 10 if left out
     */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
        System.out.println("| what | after | error, median | p90 | not known |");
        System.out.println("| --- | --- | --- | --- | --- |");
        printErrors("all pairs of sites measured", seeds, false, sites -> {});
        printErrors(
                "one pair of sites cut off from each other: that pair",
                seeds,
                true,
                sites -> sites.fleet.setLinkFilter((from, to) -> !sites.isCutPair(from, to)));
        printErrors(
                "one of 20 lies, a tenth of what it measures",
                seeds,
                false,
                sites -> sites.fleet.setMessageRewriter(LatencyMapAccuracyReport::lie));
        printTimeToLearnAChange(seeds);
    }

    private static void printErrors(String what, int seeds, boolean onlyCutPair, Consumer<Sites> fault) {
        List<MapErrors> errors = new ArrayList<>();
        Arrays.stream(MOMENTS_S).forEach(moment -> errors.add(new MapErrors()));
        for (int seed = 0; seed < seeds; seed++) {
            Sites sites = new Sites(FIRST_ERROR_SEED + seed);
            fault.accept(sites);
            sites.startAll();
            int lastS = 0;
            for (int i = 0; i < MOMENTS_S.length; i++) {
                sites.fleet.runFor((MOMENTS_S[i] - lastS) * SECOND_US);
                lastS = MOMENTS_S[i];
                sites.addErrors(onlyCutPair, errors.get(i));
            }
        }
        for (int i = 0; i < MOMENTS_S.length; i++) {
            System.out.println("| " + what + " | " + MOMENTS_S[i] + " s | " + errors.get(i) + " |");
        }
    }

    private static void printTimeToLearnAChange(int seeds) {
        double[] learntS = new double[seeds];
        for (int seed = 0; seed < seeds; seed++) {
            Sites sites = new Sites(FIRST_CHANGE_SEED + seed);
            FleetSimulation fleet = sites.fleet;
            sites.startAll();
            fleet.runFor(40 * SECOND_US);
            sites.slowDown();
            long fromUs = fleet.nowUs();
            learntS[seed] = fleet.runUntil(60 * SECOND_US, sites::isSlowSiteKnownToAll)
                    ? (fleet.nowUs() - fromUs) / 1e6
                    : Double.POSITIVE_INFINITY;
        }
        Arrays.sort(learntS);
        System.out.printf(
                Locale.ROOT,
                "%nOne site's links ten times slower: all ways from and to it within a quarter of the new truth, at all members, "
                        + "after %.1f s (median), %.1f s (worst), of %d seeds.%n",
                learntS[seeds / 2],
                learntS[seeds - 1],
                seeds);
    }

    /** What the liar says: a tenth of what it has measured itself. */
    private static Message lie(String from, Message message) {
        if (from.equals(LIAR) && message instanceof Message.LatencyExchange exchange) {
            return new Message.LatencyExchange(
                    exchange.seq(),
                    exchange.answer(),
                    exchange.readings().stream()
                            .map(reading -> reading.observer().equals(from) ? tenth(reading) : reading)
                            .toList());
        }
        return message;
    }

    private static LatencyReading tenth(LatencyReading reading) {
        return new LatencyReading(
                reading.observer(),
                reading.start(),
                reading.from(),
                reading.to(),
                reading.seq(),
                Math.max(1, reading.rttUs() / 10),
                reading.ageUs());
    }

    /** The errors of many members' maps, relative to the truth, and how many ways were not known. */
    private static final class MapErrors {
        private final List<Double> relative = new ArrayList<>();
        private int unknown;

        void add(LatencyEstimate way, long truthUs) {
            if (way == null) {
                unknown++;
            } else {
                relative.add(Math.abs(way.rttUs() - truthUs) / (double) truthUs);
            }
        }

        @Override
        public String toString() {
            double[] sorted =
                    relative.stream().mapToDouble(Double::doubleValue).sorted().toArray();
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

    /** A fleet of four members at each of five sites, drawn at random on a plane, and the true latencies between them. */
    private static final class Sites {
        private static final int SITES = 5;
        private static final int MEMBERS_EACH = 4;
        private static final int FOUNDERS = 5;
        private static final int SLOW_SITE = 2;
        private static final double SLOW_FACTOR = 10;
        private static final long GRAIN_US = 500;
        private static final double PLANE_MS = 60;
        private static final double WITHIN_SITE_MS = 0.3;
        private static final double LEAST_BETWEEN_SITES_MS = 2;
        private static final long LINKS_AND_STEPS_US = 1_000; // what these add to a round trip in the mean

        private record Point(double x, double y) {}

        final FleetSimulation fleet;
        private final Map<String, Long> oneWayUs = new HashMap<>();
        private boolean slowed;

        Sites(long seed) {
            placeSites(new SplittableRandom(seed));
            fleet = new FleetSimulation(SITES * MEMBERS_EACH, FOUNDERS, TIMING, seed);
            fleet.setStepUs(GRAIN_US);
            fleet.setMeanDelayUs(GRAIN_US);
            fleet.nodes().forEach(node -> node.setSite(siteOf(node.name())));
            fleet.setExtraDelayUs((from, to) -> oneWayUs(siteOf(from), siteOf(to)));
        }

        private void placeSites(SplittableRandom random) {
            List<Point> places = new ArrayList<>();
            for (int i = 0; i < SITES; i++) {
                places.add(new Point(random.nextDouble() * PLANE_MS, random.nextDouble() * PLANE_MS));
            }
            for (int i = 0; i < SITES; i++) {
                for (int j = 0; j < SITES; j++) {
                    double rttMs = WITHIN_SITE_MS;
                    if (i != j) {
                        Point from = places.get(i);
                        Point to = places.get(j);
                        double detour = 1 + 0.2 * random.nextDouble();
                        rttMs = LEAST_BETWEEN_SITES_MS + Math.hypot(from.x - to.x, from.y - to.y) * detour;
                    }
                    oneWayUs.merge(pair(site(i), site(j)), (long) (rttMs * 1000 / 2), Math::max);
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

        /** Whether the two members are of the first two sites, one each. */
        boolean isCutPair(String member, String other) {
            return pair(siteOf(member), siteOf(other)).equals(pair(site(0), site(1)));
        }

        /** Makes all ways from and to one site ten times as long. */
        void slowDown() {
            slowed = true;
        }

        private long oneWayUs(String from, String to) {
            long us = oneWayUs.get(pair(from, to));
            boolean isSlow = slowed && !from.equals(to) && (from.equals(site(SLOW_SITE)) || to.equals(site(SLOW_SITE)));
            return isSlow ? (long) (us * SLOW_FACTOR) : us;
        }

        private long truthUs(String from, String to) {
            return 2 * oneWayUs(from, to) + LINKS_AND_STEPS_US;
        }

        private LatencyEstimate believed(SimulatedNode node, String from, String to) {
            return node.membership().latencyMap().estimate(from, to, fleet.nowUs());
        }

        /** Adds the errors of all members' ways, or only of those between the first two sites. */
        void addErrors(boolean onlyCutPair, MapErrors errors) {
            for (SimulatedNode node : fleet.nodes()) {
                for (int i = 0; i < SITES; i++) {
                    for (int j = 0; j < i; j++) {
                        if (!onlyCutPair || (i == 1 && j == 0)) {
                            errors.add(believed(node, site(i), site(j)), truthUs(site(i), site(j)));
                        }
                    }
                }
            }
        }

        /** Whether all members know all ways from the slow site to within a quarter of the truth. */
        boolean isSlowSiteKnownToAll() {
            for (SimulatedNode node : fleet.nodes()) {
                for (int i = 0; i < SITES; i++) {
                    if (i == SLOW_SITE) {
                        continue;
                    }
                    LatencyEstimate way = believed(node, site(SLOW_SITE), site(i));
                    long truthUs = truthUs(site(SLOW_SITE), site(i));
                    if (way == null || Math.abs(way.rttUs() - truthUs) > truthUs / 4.0) {
                        return false;
                    }
                }
            }
            return true;
        }
    }
}
