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

/** Prints the table in docs/shards.md: per fault, how long a shard has no owner and how soon all shares are met. */
public final class ShardHandOverReport {
    private static final long SECOND_US = 1_000_000;
    private static final FleetTiming TIMING = new FleetTiming(SECOND_US, 5 * SECOND_US, 3_600 * SECOND_US);
    private static final int DEFAULT_SEEDS = 20;
    private static final int MIN_RANDOM_SEEDS = 50;
    private static final int MEMBERS = 7;
    private static final int SHARDS = 64;
    private static final long MAX_ALONE_MS = 10_000;
    private static final long FAR_FUTURE_MS = 4_000_000_000_000L;
    private static final List<String> OPERATORS = List.of("op0", "op1", "op2");
    private static final String PROPOSER = "op0";
    private static final int[] EVEN_SHARES = {33, 33, 33};
    private static final int[] AMENDED_SHARES = {60, 20, 20};
    private static final int AMENDED_REVISION = 2;
    private static final String CEDING_MEMBER = "m001"; // a member of op1, whose share the amendment reduces
    private static final int CEDING_MEMBER_NUMBER = 1;
    private static final List<String> CEDING_OPERATOR_MEMBERS = List.of("m001", "m004");

    /** A change to a fleet that acts by an agreement. */
    private interface Change {
        void apply(FleetSimulation fleet, SplittableRandom random);
    }

    private ShardHandOverReport() {}

    /**
     * Prints the table.
     *
     * @param args the number of seeds of each row; 20 if omitted
     */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
        System.out.println(
                "| what | seeds | longest without an owner, periods: median | worst | shares met after, periods: median | worst | not met in 120 | invariants violated |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        printAmendments(seeds);
        printAmendmentsWithFaults(seeds);
        printFaultsWithoutAmendment(seeds);
        printRow(
                "twenty amendments while members are killed, paused and cut off",
                Math.max(seeds, MIN_RANDOM_SEEDS),
                1,
                ShardHandOverReport::amendDuringRandomFaults);
    }

    private static void printAmendments(int seeds) {
        printAmendment("an amendment that moves a quarter of the shards", seeds, (fleet, random) -> amend(fleet));
        printAmendment("the same, clocks up to 3 s wrong", seeds, (fleet, random) -> {
            fleet.nodes().forEach(node -> node.setClockOffsetMs(random.nextLong(-3_000, 3_000)));
            amend(fleet);
        });
        printAmendment("the same, a fifth of messages lost", seeds, (fleet, random) -> {
            fleet.setLossProbability(0.2);
            amend(fleet);
        });
        printAmendment("the same, one ceding member's link takes 0.4 periods each way", seeds, (fleet, random) -> {
            fleet.setExtraDelayUs((from, to) -> from.equals(CEDING_MEMBER) || to.equals(CEDING_MEMBER) ? 400_000 : 0);
            amend(fleet);
        });
    }

    private static void printAmendmentsWithFaults(int seeds) {
        printAmendment(
                "the same, a ceding member killed when it is agreed, restarted after 5 s", seeds, (fleet, random) -> {
                    amendAndAwaitAgreement(fleet);
                    restart(fleet, fleet.node(CEDING_MEMBER_NUMBER), 5 * SECOND_US, true);
                });
        String allReceiversLabel =
                "the same, all receiving members killed when it is agreed, restarted after 5 s without their stores";
        printAmendment(allReceiversLabel, seeds, (fleet, random) -> {
            amendAndAwaitAgreement(fleet);
            List<SimulatedNode> killed = membersOf(fleet, PROPOSER).toList();
            killed.forEach(fleet::kill);
            fleet.runFor(5 * SECOND_US);
            killed.forEach(node -> fleet.start(node, false));
        });
        printAmendment("the same, the coordinator paused for 8 s while it is agreed", seeds, (fleet, random) -> {
            amend(fleet);
            fleet.runFor(random.nextLong(3 * SECOND_US));
            fleet.pause(fleet.node(0), 8 * SECOND_US);
        });
        printAmendment("the same, a ceding member cut off for 15 s when it is agreed", seeds, (fleet, random) -> {
            amendAndAwaitAgreement(fleet);
            isolate(fleet, List.of(CEDING_MEMBER), 15 * SECOND_US);
        });
    }

    private static void printFaultsWithoutAmendment(int seeds) {
        printRow(
                "an operator cut off for 30 s, without a stand-in",
                seeds,
                1,
                (fleet, random) -> isolate(fleet, CEDING_OPERATOR_MEMBERS, 30 * SECOND_US));
        printRow("all restarted at once", seeds, 1, (fleet, random) -> {
            fleet.nodes().forEach(fleet::kill);
            fleet.runFor(SECOND_US);
            fleet.nodes().forEach(node -> fleet.start(node, true));
        });
    }

    private static void amendDuringRandomFaults(FleetSimulation fleet, SplittableRandom random) {
        for (int i = 0; i < 20; i++) {
            int nextRevision = highestRevision(fleet) + 1;
            String proposer = "op" + random.nextInt(3);
            amend(
                    fleet,
                    nextRevision,
                    proposer,
                    random.nextInt(1, 100),
                    random.nextInt(1, 100),
                    random.nextInt(1, 100));
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

    private static void isolate(FleetSimulation fleet, List<String> memberNames, long durationUs) {
        fleet.setLinkFilter((from, to) -> memberNames.contains(from) == memberNames.contains(to));
        fleet.runFor(durationUs);
        fleet.heal();
    }

    private static void restart(FleetSimulation fleet, SimulatedNode node, long downtimeUs, boolean keepsStore) {
        fleet.kill(node);
        fleet.runFor(downtimeUs);
        fleet.start(node, keepsStore);
    }

    private static Stream<SimulatedNode> membersOf(FleetSimulation fleet, String operator) {
        return fleet.nodes().stream().filter(node -> node.operator().equals(operator));
    }

    /** Returns the highest revision of an agreement that any running member holds; 0 for none. */
    private static int highestRevision(FleetSimulation fleet) {
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
        amend(fleet, AMENDED_REVISION, PROPOSER, AMENDED_SHARES);
    }

    private static void amendAndAwaitAgreement(FleetSimulation fleet) {
        amend(fleet);
        fleet.runUntil(20 * SECOND_US, () -> highestRevision(fleet) == AMENDED_REVISION);
    }

    private static void amend(FleetSimulation fleet, int revision, String proposer, int... shares) {
        List<Party> parties = new ArrayList<>();
        for (int i = 0; i < shares.length; i++) {
            parties.add(new Party(OPERATORS.get(i), 100, shares[i], 0));
        }
        PartnerAgreement agreement =
                new PartnerAgreement("pact", revision, parties, 0, FAR_FUTURE_MS, 5_000, false, SHARDS / 4, 10_000, 0);
        membersOf(fleet, proposer).forEach(node -> fleet.setTerms(node, termsThatAcceptAll(agreement)));
    }

    private static AgreementTerms termsThatAcceptAll(PartnerAgreement proposal) {
        return new AgreementTerms(proposal, 0, 1_000, 0, MAX_ALONE_MS, SHARDS, FAR_FUTURE_MS, false);
    }

    private static void printAmendment(String label, int seeds, Change change) {
        printRow(label, seeds, AMENDED_REVISION, change);
    }

    /**
     * Applies a change to fleets whose three operators have agreed on equal shares, one for each seed, and prints the
     * results as a row of the table.
     *
     * @param label the row's label
     * @param seeds the number of seeds
     * @param expectedRevision the lowest revision of the agreement that must be in force at the end
     * @param change the change
     */
    private static void printRow(String label, int seeds, int expectedRevision, Change change) {
        List<Double> ownerlessPeriods = new ArrayList<>();
        List<Double> periodsUntilMet = new ArrayList<>();
        List<String> violations = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            FleetSimulation fleet = newAgreedFleet(seed);
            fleet.resetLongestOwnerless();
            long startUs = fleet.nowUs();
            change.apply(fleet, new SplittableRandom(seed));
            if (fleet.runUntil(
                    120 * SECOND_US, () -> highestRevision(fleet) >= expectedRevision && areSharesMet(fleet))) {
                periodsUntilMet.add((fleet.nowUs() - startUs) / (double) SECOND_US);
            }
            ownerlessPeriods.add(fleet.longestOwnerlessUs() / (double) SECOND_US);
            violations.addAll(fleet.violations());
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %.1f | %.1f | %.1f | %.1f | %d | %s |%n",
                label,
                seeds,
                median(ownerlessPeriods),
                worst(ownerlessPeriods),
                median(periodsUntilMet),
                worst(periodsUntilMet),
                seeds - periodsUntilMet.size(),
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

    /** Returns a fleet of seven members whose three operators have agreed on equal shares and act by the agreement. */
    private static FleetSimulation newAgreedFleet(long seed) {
        FleetSimulation fleet =
                new FleetSimulation(MEMBERS, MEMBERS, TIMING, seed, new ShardSettings(SHARDS, MAX_ALONE_MS));
        fleet.nodes().forEach(node -> {
            node.setOperator(OPERATORS.get(node.gateway() % OPERATORS.size()));
            fleet.setTerms(node, termsThatAcceptAll(null));
            fleet.start(node, false);
        });
        fleet.runUntil(60 * SECOND_US, fleet::hasConverged);
        amend(fleet, 1, PROPOSER, EVEN_SHARES);
        fleet.runUntil(60 * SECOND_US, () -> highestRevision(fleet) == 1 && areSharesMet(fleet));
        fleet.runFor(20 * SECOND_US);
        return fleet;
    }

    /**
     * Returns whether all members hold one view, and each operator acts on its agreed share of the shards, to
     * within less than one shard.
     */
    private static boolean areSharesMet(FleetSimulation fleet) {
        if (!fleet.hasConverged()) {
            return false;
        }
        PartnerAgreement agreement = fleet.node(0).view().shardAssignment().agreement();
        double totalShares = agreement == null
                ? 0
                : agreement.parties().stream().mapToInt(Party::share).sum();
        Map<String, Integer> activeShardCounts = fleet.activeShardCounts();
        for (String operator : OPERATORS) {
            double expectedShards = totalShares == 0
                    ? SHARDS / (double) OPERATORS.size()
                    : SHARDS * agreement.party(operator).share() / totalShares;
            if (Math.abs(activeShardCounts.getOrDefault(operator, 0) - expectedShards) >= 1) {
                return false;
            }
        }
        boolean areAllShardsActive =
                activeShardCounts.values().stream().mapToInt(Integer::intValue).sum() == SHARDS;
        return areAllShardsActive && (agreement == null || agreement.revision() >= 1);
    }
}
