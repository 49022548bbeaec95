package hopdrum.rig.simulation;

import hopdrum.fleet.view.FleetTiming;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;

/** Prints the first tables of docs/fleet.md: the time to one view after each kind of change, and the running costs. */
public final class ViewConvergenceReport {
    private static final long SECOND_US = 1_000_000;
    private static final FleetTiming TIMING = new FleetTiming(SECOND_US, 10 * SECOND_US, 3_600 * SECOND_US);
    private static final int DEFAULT_SEEDS = 20;
    private static final int FIRST_SEED = 1_000;
    private static final long COST_SEED = 7;
    private static final long COST_SECONDS = 60;
    private static final int MAX_FOUNDERS = 5;
    private static final long CONVERGENCE_LIMIT_US = 120 * SECOND_US;
    private static final double NOT_CONVERGED = Double.POSITIVE_INFINITY;

    /** A change to a converged fleet. */
    private interface Change {
        /** Applies the change and returns the probe periods until convergence, or {@link #NOT_CONVERGED}. */
        double applyAndMeasurePeriods(FleetSimulation fleet, SplittableRandom random);
    }

    private ViewConvergenceReport() {}

    /**
     * Prints the tables.
     *
     * @param args the number of seeds of each row; 20 if omitted
     */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
        System.out.println("| change | members | median, periods | worst | false positives | invariants violated |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (int memberCount : new int[] {5, 15, 30}) {
            printSingleChanges(memberCount, seeds);
            printFleetRestarts(memberCount, seeds);
            printNetworkFaults(memberCount, seeds);
        }
        printMajorityFaults(seeds);
        printCosts(new int[] {5, 15, 30, 300});
    }

    private static void printSingleChanges(int memberCount, int seeds) {
        printRow("a join", memberCount, memberCount - 1, seeds, (fleet, random) -> {
            fleet.start(fleet.node(memberCount - 1), false);
            return periodsToConverge(fleet);
        });
        printRow("a leave", memberCount, memberCount, seeds, (fleet, random) -> {
            fleet.leave(fleet.node(random.nextInt(memberCount)));
            return periodsToConverge(fleet);
        });
        printRow("a crash", memberCount, memberCount, seeds, (fleet, random) -> {
            fleet.kill(fleet.node(random.nextInt(memberCount)));
            return periodsToConverge(fleet);
        });
        printRow("a crash and restart after 1 s", memberCount, memberCount, seeds, (fleet, random) -> {
            SimulatedNode node = fleet.node(random.nextInt(memberCount));
            fleet.kill(node);
            fleet.runFor(SECOND_US);
            fleet.start(node, true);
            return periodsToConverge(fleet);
        });
        printRow("a pause of 8 s: from its end", memberCount, memberCount, seeds, (fleet, random) -> {
            fleet.pause(fleet.node(random.nextInt(memberCount)), 8 * SECOND_US);
            fleet.runFor(8 * SECOND_US);
            return periodsToConverge(fleet);
        });
    }

    private static void printFleetRestarts(int memberCount, int seeds) {
        printRow("all restarted one after another: from the last", memberCount, memberCount, seeds, (fleet, random) -> {
            for (SimulatedNode node : fleet.nodes()) {
                fleet.leave(node);
                fleet.runFor(SECOND_US / 2);
                fleet.start(node, true);
                fleet.runFor(3 * SECOND_US);
            }
            return periodsToConverge(fleet);
        });
        printRow("all restarted at once", memberCount, memberCount, seeds, (fleet, random) -> {
            restartAll(fleet, true);
            return periodsToConverge(fleet);
        });
        printRow("all restarted at once without their stores", memberCount, memberCount, seeds, (fleet, random) -> {
            restartAll(fleet, false);
            return periodsToConverge(fleet);
        });
    }

    private static void restartAll(FleetSimulation fleet, boolean keepStores) {
        fleet.nodes().forEach(fleet::kill);
        fleet.runFor(SECOND_US);
        fleet.nodes().forEach(node -> fleet.start(node, keepStores));
    }

    private static void printNetworkFaults(int memberCount, int seeds) {
        printRow("a split 2:3 of 30 s: from its end", memberCount, memberCount, seeds, (fleet, random) -> {
            splitFor30Seconds(fleet, memberCount * 2 / 5);
            return periodsToConverge(fleet);
        });
        String oneWayCutLabel = "a one-way cut to one member for 30 s: from its start, converged or unchanged";
        printRow(oneWayCutLabel, memberCount, memberCount, seeds, (fleet, random) -> {
            String receiver = fleet.node(memberCount - 1).name();
            String sender = fleet.node(0).name();
            fleet.setLinkFilter((from, to) -> !(from.equals(sender) && to.equals(receiver)));
            fleet.runFor(30 * SECOND_US);
            return periodsToConverge(fleet);
        });
        printRow(
                "20% of messages lost for 60 s",
                memberCount, memberCount, seeds, (fleet, random) -> {
                    fleet.setLossProbability(0.2);
                    fleet.runFor(60 * SECOND_US);
                    fleet.setLossProbability(0);
                    return periodsToConverge(fleet);
                });
    }

    private static void printMajorityFaults(int seeds) {
        printRow("7 of 9 killed at once and restarted after 5 s: from the restart", 9, 9, seeds, (fleet, random) -> {
            List<SimulatedNode> killed = fleet.nodes().subList(2, 9);
            killed.forEach(fleet::kill);
            fleet.runFor(5 * SECOND_US);
            killed.forEach(node -> fleet.start(node, true));
            return periodsToConverge(fleet);
        });
        printRow("a split 4:5 of 30 s: from its end", 9, 9, seeds, (fleet, random) -> {
            splitFor30Seconds(fleet, 4);
            return periodsToConverge(fleet);
        });
    }

    private static void splitFor30Seconds(FleetSimulation fleet, int firstSideSize) {
        fleet.setLinkFilter((from, to) -> isNumberBelow(from, firstSideSize) == isNumberBelow(to, firstSideSize));
        fleet.runFor(30 * SECOND_US);
        fleet.heal();
    }

    private static boolean isNumberBelow(String name, int number) {
        return Integer.parseInt(name.substring(1)) < number;
    }

    private static double periodsToConverge(FleetSimulation fleet) {
        long startUs = fleet.nowUs();
        return fleet.runUntil(CONVERGENCE_LIMIT_US, fleet::hasConverged)
                ? (double) (fleet.nowUs() - startUs) / TIMING.probePeriodUs()
                : NOT_CONVERGED;
    }

    private static void printRow(String label, int memberCount, int startedCount, int seeds, Change change) {
        double[] periods = new double[seeds];
        int falsePositives = 0;
        List<String> violations = new ArrayList<>();
        for (int seed = 0; seed < seeds; seed++) {
            FleetSimulation fleet =
                    new FleetSimulation(memberCount, Math.min(MAX_FOUNDERS, startedCount), TIMING, FIRST_SEED + seed);
            fleet.nodes().subList(0, startedCount).forEach(node -> fleet.start(node, false));
            if (!fleet.runUntil(CONVERGENCE_LIMIT_US, fleet::hasConverged)) {
                violations.add("the fleet was not founded");
            }
            fleet.runFor(15 * SECOND_US);
            fleet.clearFalsePositives();
            periods[seed] = change.applyAndMeasurePeriods(fleet, new SplittableRandom(seed));
            falsePositives += fleet.falsePositives().values().stream()
                    .mapToInt(Integer::intValue)
                    .sum();
            violations.addAll(fleet.violations());
        }
        Arrays.sort(periods);
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %.1f | %.1f | %s | %s |%n",
                label,
                memberCount,
                periods[seeds / 2],
                periods[seeds - 1],
                label.contains("split") ? "cut off" : falsePositives,
                violations.isEmpty() ? "none" : violations.size() + ": " + violations.get(0));
    }

    private static void printCosts(int[] sizes) {
        System.out.println();
        System.out.println(
                "| members | messages a second, mean (max) | bytes a second, mean (max) | CPU, us a second, mean |");
        System.out.println("| --- | --- | --- | --- |");
        for (int memberCount : sizes) {
            FleetSimulation fleet =
                    new FleetSimulation(memberCount, Math.min(MAX_FOUNDERS, memberCount), TIMING, COST_SEED);
            fleet.nodes().forEach(node -> fleet.start(node, false));
            boolean converged = fleet.runUntil(300 * SECOND_US, fleet::hasConverged);
            fleet.runFor(20 * SECOND_US);
            fleet.nodes().forEach(SimulatedNode::resetCounters);
            fleet.runFor(COST_SECONDS * SECOND_US);
            System.out.printf(
                    Locale.ROOT,
                    "| %d%s | %.1f (%.1f) | %.0f (%.0f) | %.0f |%n",
                    memberCount,
                    converged ? "" : " (not converged)",
                    meanPerSecond(fleet, SimulatedNode::messagesSent),
                    maxPerSecond(fleet, SimulatedNode::messagesSent),
                    meanPerSecond(fleet, SimulatedNode::bytesSent),
                    maxPerSecond(fleet, SimulatedNode::bytesSent),
                    meanPerSecond(fleet, SimulatedNode::cpuNanos) / 1000);
        }
    }

    private static double meanPerSecond(FleetSimulation fleet, ToLongFunction<SimulatedNode> counter) {
        return fleet.nodes().stream().mapToLong(counter).average().orElse(0) / COST_SECONDS;
    }

    private static double maxPerSecond(FleetSimulation fleet, ToLongFunction<SimulatedNode> counter) {
        return fleet.nodes().stream().mapToLong(counter).max().orElse(0) / (double) COST_SECONDS;
    }
}
