package hopdrum.rig.simulation;

import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.shards.AgreementTerms;
import hopdrum.fleet.view.FleetTiming;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** Prints the table of docs/shards.md: how long any shard has no owner, and how soon all shares are met, per fault. */
public final class ShardHandOverReport {
    private static final long SECOND_US = 1_000_000;
    private static final FleetTiming TIMING = new FleetTiming(SECOND_US, 5 * SECOND_US, 3_600 * SECOND_US);
    private static final int DEFAULT_SEEDS = 20;
    private static final int LEAST_RANDOM_SEEDS = 50;
    private static final int MEMBERS = 7;
    private static final int SHARDS = 64;
    private static final long ALONE_MS = 10_000;
    private static final long NO_END_MS = 4_000_000_000_000L;
    private static final List<String> OPERATORS = List.of("op0", "op1", "op2");
    private static final String PROPOSER = "op0";
    private static final int[] EVEN = {33, 33, 33};
    private static final int[] AMENDED = {60, 20, 20};
    private static final int AMENDED_REVISION = 2;
    private static final String GIVER = "m001"; // a member of op1, which has shards to give away
    private static final int GIVER_NUMBER = 1;
    private static final List<String> GIVING_OPERATORS_MEMBERS = List.of("m001", "m004");

    /** A change to a fleet that acts as agreed. */
    private interface Change {
        void apply(FleetSimulation fleet, SplittableRandom random);
    }

    private ShardHandOverReport() {}

    /**
     * Prints the table.
     *
     * @param args how many seeds each row takes, 20 if left out
     */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
        System.out.println(
                "| what | seeds | longest without an owner, periods: median | worst | shares met after, periods: median | worst | not met in 120 | rules broken |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        printAmendments(seeds);
        printAmendmentsWithFaults(seeds);
        printFaultsAlone(seeds);
        printRow(
                "twenty amendments while members die, pause and are cut off",
                Math.max(seeds, LEAST_RANDOM_SEEDS),
                1,
                ShardHandOverReport::amendAtRandom);
    }

    private static void printAmendments(int seeds) {
        printAmendment("an amendment that moves a quarter", seeds, (fleet, random) -> amend(fleet));
        printAmendment("the same, clocks up to 3 s wrong", seeds, (fleet, random) -> {
            fleet.nodes().forEach(node -> node.setClockOffsetMs(random.nextLong(-3_000, 3_000)));
            amend(fleet);
        });
        printAmendment("the same, a fifth of messages lost", seeds, (fleet, random) -> {
            fleet.setLossProbability(0.2);
            amend(fleet);
        });
        printAmendment("the same, one giver's link takes 0.4 periods each way", seeds, (fleet, random) -> {
            fleet.setExtraDelayUs((from, to) -> from.equals(GIVER) || to.equals(GIVER) ? 400_000 : 0);
            amend(fleet);
        });
    }

    private static void printAmendmentsWithFaults(int seeds) {
        printAmendment("the same, a giver killed as it is settled, back after 5 s", seeds, (fleet, random) -> {
            amendAndAwait(fleet);
            restart(fleet, fleet.node(GIVER_NUMBER), 5 * SECOND_US, true);
        });
        String takers = "the same, all takers killed as it is settled, back after 5 s without their stores";
        printAmendment(takers, seeds, (fleet, random) -> {
            amendAndAwait(fleet);
            List<SimulatedNode> killed = membersOf(fleet, PROPOSER).toList();
            killed.forEach(fleet::kill);
            fleet.runFor(5 * SECOND_US);
            killed.forEach(node -> fleet.start(node, false));
        });
        printAmendment("the same, the decider paused for 8 s as it is agreed", seeds, (fleet, random) -> {
            amend(fleet);
            fleet.runFor(random.nextLong(3 * SECOND_US));
            fleet.pause(fleet.node(0), 8 * SECOND_US);
        });
        printAmendment("the same, a giver cut off for 15 s as it is settled", seeds, (fleet, random) -> {
            amendAndAwait(fleet);
            isolate(fleet, List.of(GIVER), 15 * SECOND_US);
        });
    }

    private static void printFaultsAlone(int seeds) {
        printRow(
                "an operator cut off for 30 s, nobody stands in",
                seeds,
                1,
                (fleet, random) -> isolate(fleet, GIVING_OPERATORS_MEMBERS, 30 * SECOND_US));
        printRow("all restarted at once", seeds, 1, (fleet, random) -> {
            fleet.nodes().forEach(fleet::kill);
            fleet.runFor(SECOND_US);
            fleet.nodes().forEach(node -> fleet.start(node, true));
        });
    }

    private static void amendAtRandom(FleetSimulation fleet, SplittableRandom random) {
        for (int i = 0; i < 20; i++) {
            int next = revision(fleet) + 1;
            String proposer = "op" + random.nextInt(3);
            amend(fleet, next, proposer, random.nextInt(1, 100), random.nextInt(1, 100), random.nextInt(1, 100));
            SimulatedNode node = fleet.node(random.nextInt(MEMBERS));
            switch (random.nextInt(4)) {
                case 0 -> restart(fleet, node, random.nextLong(8 * SECOND_US), random.nextInt(4) > 0);
                case 1 -> fleet.pause(node, random.nextLong(12 * SECOND_US));
                case 2 -> isolate(fleet, List.of(node.name()), random.nextLong(10 * SECOND_US));
                default -> fleet.runFor(random.nextLong(5 * SECOND_US));
            }
            fleet.runFor(random.nextLong(8 * SECOND_US));
        }
    }

    private static void isolate(FleetSimulation fleet, List<String> names, long us) {
        fleet.setLinkFilter((from, to) -> names.contains(from) == names.contains(to));
        fleet.runFor(us);
        fleet.heal();
    }

    private static void restart(FleetSimulation fleet, SimulatedNode node, long afterUs, boolean withStore) {
        fleet.kill(node);
        fleet.runFor(afterUs);
        fleet.start(node, withStore);
    }

    private static Stream<SimulatedNode> membersOf(FleetSimulation fleet, String operator) {
        return fleet.nodes().stream().filter(node -> node.operator().equals(operator));
    }

    /** The highest revision of an agreement that any running member holds; 0 for none. */
    private static int revision(FleetSimulation fleet) {
        return fleet.nodes().stream()
                .filter(SimulatedNode::isUp)
                .map(node -> node.view().shardAssignment())
                .filter(Objects::nonNull)
                .map(ShardAssignment::agreement)
                .filter(Objects::nonNull)
                .mapToInt(PartnerAgreement::revision)
                .max()
                .orElse(0);
    }

    private static void amend(FleetSimulation fleet) {
        amend(fleet, AMENDED_REVISION, PROPOSER, AMENDED);
    }

    private static void amendAndAwait(FleetSimulation fleet) {
        amend(fleet);
        fleet.runUntil(20 * SECOND_US, () -> revision(fleet) == AMENDED_REVISION);
    }

    private static void amend(FleetSimulation fleet, int revision, String proposer, int... owed) {
        List<Party> parties = new ArrayList<>();
        for (int i = 0; i < owed.length; i++) {
            parties.add(new Party(OPERATORS.get(i), 100, owed[i], 0));
        }
        PartnerAgreement agreement =
                new PartnerAgreement("pact", revision, parties, 0, NO_END_MS, 5_000, false, SHARDS / 4, 10_000, 0);
        membersOf(fleet, proposer).forEach(node -> fleet.setTerms(node, termsThatAcceptAll(agreement)));
    }

    private static AgreementTerms termsThatAcceptAll(PartnerAgreement proposes) {
        return new AgreementTerms(proposes, 0, 1_000, 0, ALONE_MS, SHARDS, NO_END_MS, false);
    }

    private static void printAmendment(String what, int seeds, Change change) {
        printRow(what, seeds, AMENDED_REVISION, change);
    }

    /**
     * Applies the change to a fleet that has agreed on a third each, and prints how that went.
     *
     * @param wantedRevision of the agreement that is to be in force at the end, at least
     */
    private static void printRow(String what, int seeds, int wantedRevision, Change change) {
        List<Double> ownerless = new ArrayList<>();
        List<Double> met = new ArrayList<>();
        List<String> violations = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            FleetSimulation fleet = agreedFleet(seed);
            fleet.resetLongestOwnerless();
            long beganUs = fleet.nowUs();
            change.apply(fleet, new SplittableRandom(seed));
            if (fleet.runUntil(120 * SECOND_US, () -> revision(fleet) >= wantedRevision && areSharesMet(fleet))) {
                met.add((fleet.nowUs() - beganUs) / (double) SECOND_US);
            }
            ownerless.add(fleet.longestOwnerlessUs() / (double) SECOND_US);
            violations.addAll(fleet.violations());
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %.1f | %.1f | %.1f | %.1f | %d | %s |%n",
                what,
                seeds,
                median(ownerless),
                worst(ownerless),
                median(met),
                worst(met),
                seeds - met.size(),
                violations.isEmpty() ? "none" : violations.size() + ", first " + violations.get(0));
        System.out.flush();
    }

    private static double median(List<Double> values) {
        double[] sorted =
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return sorted.length == 0 ? Double.NaN : sorted[sorted.length / 2];
    }

    private static double worst(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).max().orElse(Double.NaN);
    }

    /** Seven members of three operators that have agreed on a third each and act on it. */
    private static FleetSimulation agreedFleet(long seed) {
        FleetSimulation fleet =
                new FleetSimulation(MEMBERS, MEMBERS, TIMING, seed, new ShardSettings(SHARDS, ALONE_MS));
        fleet.nodes().forEach(node -> {
            node.setOperator(OPERATORS.get(node.gateway() % OPERATORS.size()));
            fleet.setTerms(node, termsThatAcceptAll(null));
            fleet.start(node, false);
        });
        fleet.runUntil(60 * SECOND_US, fleet::hasConverged);
        amend(fleet, 1, PROPOSER, EVEN);
        fleet.runUntil(60 * SECOND_US, () -> revision(fleet) == 1 && areSharesMet(fleet));
        fleet.runFor(20 * SECOND_US);
        return fleet;
    }

    /** Whether all have one view, and each operator acts on as many shards as the terms in force owe it, to within one. */
    private static boolean areSharesMet(FleetSimulation fleet) {
        if (!fleet.hasConverged()) {
            return false;
        }
        PartnerAgreement agreement = fleet.node(0).view().shardAssignment().agreement();
        double owedToAll = agreement == null
                ? 0
                : agreement.parties().stream().mapToInt(Party::share).sum();
        Map<String, Integer> acting = fleet.activeShardCounts();
        for (String operator : OPERATORS) {
            double owed = owedToAll == 0
                    ? SHARDS / (double) OPERATORS.size()
                    : SHARDS * agreement.party(operator).share() / owedToAll;
            if (Math.abs(acting.getOrDefault(operator, 0) - owed) >= 1) {
                return false;
            }
        }
        boolean isWhole = acting.values().stream().mapToInt(Integer::intValue).sum() == SHARDS;
        return isWhole && (agreement == null || agreement.revision() >= 1);
    }
}
