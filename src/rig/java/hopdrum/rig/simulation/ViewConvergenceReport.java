package hopdrum.rig.simulation;

import hopdrum.fleet.view.FleetTiming;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;

/** Prints the first tables of docs/fleet.md: how soon all members hold one view after each kind of change, and its cost. */
public final class ViewConvergenceReport {
    private static final long SECOND_US = 1_000_000;
    private static final FleetTiming TIMING = new FleetTiming(SECOND_US, 10 * SECOND_US, 3_600 * SECOND_US);
    private static final int DEFAULT_SEEDS = 20;
    private static final int FIRST_SEED = 1_000;
    private static final long COST_SEED = 7;
    private static final long COST_SECONDS = 60;
    private static final int MOST_FOUNDERS = 5;
    private static final long SETTLE_LIMIT_US = 120 * SECOND_US;
    private static final double NOT_SETTLED = Double.POSITIVE_INFINITY;

    /** A change to a settled fleet; gives the periods until the fleet is settled again, or {@link #NOT_SETTLED}. */
    private interface Change {
        double periods(FleetSimulation fleet, SplittableRandom random);
    }

    private ViewConvergenceReport() {}

    /**
     * Prints the tables.
     *
     * @param args how many seeds each row takes, 20 if left out
     */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
        System.out.println("| change | members | median, periods | worst | wrongly dropped | rules broken |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (int members : new int[] {5, 15, 30}) {
            printSingleChanges(members, seeds);
            printFleetRestarts(members, seeds);
            printNetworkFaults(members, seeds);
        }
        printMajorityFaults(seeds);
        printCosts(new int[] {5, 15, 30, 300});
    }

    private static void printSingleChanges(int members, int seeds) {
        printRow("a join", members, members - 1, seeds, (fleet, random) -> {
            fleet.start(fleet.node(members - 1), false);
            return periodsToSettle(fleet);
        });
        printRow("a leave", members, members, seeds, (fleet, random) -> {
            fleet.leave(fleet.node(random.nextInt(members)));
            return periodsToSettle(fleet);
        });
        printRow("a crash", members, members, seeds, (fleet, random) -> {
            fleet.kill(fleet.node(random.nextInt(members)));
            return periodsToSettle(fleet);
        });
        printRow("a crash and restart after 1 s", members, members, seeds, (fleet, random) -> {
            SimulatedNode node = fleet.node(random.nextInt(members));
            fleet.kill(node);
            fleet.runFor(SECOND_US);
            fleet.start(node, true);
            return periodsToSettle(fleet);
        });
        printRow("paused 8 s: from its waking", members, members, seeds, (fleet, random) -> {
            fleet.pause(fleet.node(random.nextInt(members)), 8 * SECOND_US);
            fleet.runFor(8 * SECOND_US);
            return periodsToSettle(fleet);
        });
    }

    private static void printFleetRestarts(int members, int seeds) {
        printRow("all restarted one after another: from the last", members, members, seeds, (fleet, random) -> {
            for (SimulatedNode node : fleet.nodes()) {
                fleet.leave(node);
                fleet.runFor(SECOND_US / 2);
                fleet.start(node, true);
                fleet.runFor(3 * SECOND_US);
            }
            return periodsToSettle(fleet);
        });
        printRow("all restarted at once", members, members, seeds, (fleet, random) -> {
            restartAll(fleet, true);
            return periodsToSettle(fleet);
        });
        printRow("all restarted at once without their stores", members, members, seeds, (fleet, random) -> {
            restartAll(fleet, false);
            return periodsToSettle(fleet);
        });
    }

    private static void restartAll(FleetSimulation fleet, boolean withStores) {
        fleet.nodes().forEach(fleet::kill);
        fleet.runFor(SECOND_US);
        fleet.nodes().forEach(node -> fleet.start(node, withStores));
    }

    private static void printNetworkFaults(int members, int seeds) {
        printRow("a split 2:3 of 30 s, from its heal", members, members, seeds, (fleet, random) -> {
            splitFor30Seconds(fleet, members * 2 / 5);
            return periodsToSettle(fleet);
        });
        String oneWay = "a one-way cut to one member for 30 s: from its start, settled or unchanged";
        printRow(oneWay, members, members, seeds, (fleet, random) -> {
            String deaf = fleet.node(members - 1).name();
            String near = fleet.node(0).name();
            fleet.setLinkFilter((from, to) -> !(from.equals(near) && to.equals(deaf)));
            fleet.runFor(30 * SECOND_US);
            return periodsToSettle(fleet);
        });
        printRow(
                "20% of messages lost for 60 s",
                members, members, seeds, (fleet, random) -> {
                    fleet.setLossProbability(0.2);
                    fleet.runFor(60 * SECOND_US);
                    fleet.setLossProbability(0);
                    return periodsToSettle(fleet);
                });
    }

    private static void printMajorityFaults(int seeds) {
        printRow("7 of 9 killed at once and restarted after 5 s: from the restart", 9, 9, seeds, (fleet, random) -> {
            List<SimulatedNode> killed = fleet.nodes().subList(2, 9);
            killed.forEach(fleet::kill);
            fleet.runFor(5 * SECOND_US);
            killed.forEach(node -> fleet.start(node, true));
            return periodsToSettle(fleet);
        });
        printRow("a split 4:5 of 30 s, from its heal", 9, 9, seeds, (fleet, random) -> {
            splitFor30Seconds(fleet, 4);
            return periodsToSettle(fleet);
        });
    }

    private static void splitFor30Seconds(FleetSimulation fleet, int firstSide) {
        fleet.setLinkFilter((from, to) -> isBelow(from, firstSide) == isBelow(to, firstSide));
        fleet.runFor(30 * SECOND_US);
        fleet.heal();
    }

    private static boolean isBelow(String name, int number) {
        return Integer.parseInt(name.substring(1)) < number;
    }

    private static double periodsToSettle(FleetSimulation fleet) {
        long fromUs = fleet.nowUs();
        return fleet.runUntil(SETTLE_LIMIT_US, fleet::hasConverged)
                ? (double) (fleet.nowUs() - fromUs) / TIMING.probePeriodUs()
                : NOT_SETTLED;
    }

    private static void printRow(String what, int members, int started, int seeds, Change change) {
        double[] periods = new double[seeds];
        int dropped = 0;
        List<String> violations = new ArrayList<>();
        for (int seed = 0; seed < seeds; seed++) {
            FleetSimulation fleet =
                    new FleetSimulation(members, Math.min(MOST_FOUNDERS, started), TIMING, FIRST_SEED + seed);
            fleet.nodes().subList(0, started).forEach(node -> fleet.start(node, false));
            if (!fleet.runUntil(SETTLE_LIMIT_US, fleet::hasConverged)) {
                violations.add("did not found");
            }
            fleet.runFor(15 * SECOND_US);
            fleet.clearFalsePositives();
            periods[seed] = change.periods(fleet, new SplittableRandom(seed));
            dropped += fleet.falsePositives().values().stream()
                    .mapToInt(Integer::intValue)
                    .sum();
            violations.addAll(fleet.violations());
        }
        Arrays.sort(periods);
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %.1f | %.1f | %s | %s |%n",
                what,
                members,
                periods[seeds / 2],
                periods[seeds - 1],
                what.contains("split") ? "cut off" : dropped,
                violations.isEmpty() ? "none" : violations.size() + ": " + violations.get(0));
    }

    private static void printCosts(int[] sizes) {
        System.out.println();
        System.out.println(
                "| members | messages a second, mean (most) | bytes a second, mean (most) | CPU, us a second, mean |");
        System.out.println("| --- | --- | --- | --- |");
        for (int members : sizes) {
            FleetSimulation fleet = new FleetSimulation(members, Math.min(MOST_FOUNDERS, members), TIMING, COST_SEED);
            fleet.nodes().forEach(node -> fleet.start(node, false));
            boolean settled = fleet.runUntil(300 * SECOND_US, fleet::hasConverged);
            fleet.runFor(20 * SECOND_US);
            fleet.nodes().forEach(SimulatedNode::resetCounters);
            fleet.runFor(COST_SECONDS * SECOND_US);
            System.out.printf(
                    Locale.ROOT,
                    "| %d%s | %.1f (%.1f) | %.0f (%.0f) | %.0f |%n",
                    members,
                    settled ? "" : " (not settled)",
                    meanPerSecond(fleet, SimulatedNode::messagesSent),
                    mostPerSecond(fleet, SimulatedNode::messagesSent),
                    meanPerSecond(fleet, SimulatedNode::bytesSent),
                    mostPerSecond(fleet, SimulatedNode::bytesSent),
                    meanPerSecond(fleet, SimulatedNode::cpuNanos) / 1000);
        }
    }

    private static double meanPerSecond(FleetSimulation fleet, ToLongFunction<SimulatedNode> counter) {
        return fleet.nodes().stream().mapToLong(counter).average().orElse(0) / COST_SECONDS;
    }

    private static double mostPerSecond(FleetSimulation fleet, ToLongFunction<SimulatedNode> counter) {
        return fleet.nodes().stream().mapToLong(counter).max().orElse(0) / (double) COST_SECONDS;
    }
}
