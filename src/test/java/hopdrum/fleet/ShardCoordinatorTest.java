package hopdrum.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.View;
import hopdrum.fleet.shards.AgreementTerms;
import hopdrum.fleet.shards.ShardAssignmentRule;
import hopdrum.fleet.view.FleetTiming;
import hopdrum.rig.simulation.FleetSimulation;
import hopdrum.rig.simulation.ShardSettings;
import hopdrum.rig.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/**
 * Simulates partners in virtual time. Guards against a shard with two owners, which the simulation checks at each step,
 * and against wrong shares, when members are cut off, restart or pause and wall clocks are wrong.
 */
class ShardCoordinatorTest {
    private static final long S = 1_000_000; // one second in microseconds
    private static final FleetTiming TIMING = new FleetTiming(S, 5 * S, 3_600 * S);
    private static final int SHARDS = 32;
    private static final long ALONE_MS = 10_000;

    static PartnerAgreement agreement(int revision, long fromMs, long untilMs, boolean standIn, int... shares) {
        List<Party> parties = new ArrayList<>();
        for (int i = 0; i < shares.length; i++) {
            parties.add(new Party("op" + i, Math.max(shares[i], 100), shares[i], Math.min(shares[i], 10)));
        }
        return new PartnerAgreement(
                "pact", revision, parties, fromMs, untilMs, 5_000, standIn, SHARDS / 4, 10_000, 20_000);
    }

    private static AgreementTerms proposing(PartnerAgreement agreement) {
        return new AgreementTerms(agreement, 0, 1_000, 0, ALONE_MS, SHARDS, 400L * 86_400_000, false);
    }

    /** Creates a fleet whose members belong to the operators in turn. */
    private static FleetSimulation newFleet(int members, int operators, long seed) {
        FleetSimulation fleet =
                new FleetSimulation(members, members, TIMING, seed, new ShardSettings(SHARDS, ALONE_MS));
        for (SimulatedNode node : fleet.nodes()) {
            node.setOperator("op" + node.gateway() % operators);
            fleet.setTerms(node, new AgreementTerms(null, 0, 1_000, 0, ALONE_MS, SHARDS, 400L * 86_400_000, false));
        }
        return fleet;
    }

    private static FleetSimulation settledFleet(int members, int operators, long seed) {
        FleetSimulation fleet = newFleet(members, operators, seed);
        fleet.nodes().forEach(node -> fleet.start(node, false));
        assertThat(fleet.runUntil(60 * S, fleet::hasConverged)).isTrue();
        assertThat(fleet.runUntil(
                        40 * S,
                        () -> fleet.activeShardCounts().values().stream()
                                        .mapToInt(n -> n)
                                        .sum()
                                == SHARDS))
                .isTrue();
        return fleet;
    }

    private static boolean sharesAre(FleetSimulation fleet, Integer... counts) {
        List<Integer> actual = new ArrayList<>();
        for (int i = 0; i < counts.length; i++) {
            actual.add(fleet.activeShardCounts().getOrDefault("op" + i, 0));
        }
        return actual.equals(List.of(counts));
    }

    private static void updateTerms(FleetSimulation fleet, String operator, AgreementTerms terms) {
        fleet.nodes().stream().filter(n -> n.operator().equals(operator)).forEach(n -> fleet.setTerms(n, terms));
    }

    @Test
    void sharesAreEvenWithoutAnAgreementAndAnAgreedOneMovesThemWithinTheEpochsBudget() {
        FleetSimulation fleet = settledFleet(6, 2, 1);
        assertThat(sharesAre(fleet, 16, 16)).isTrue();
        updateTerms(fleet, "op0", proposing(agreement(1, 0, fleet.wallMs() + 3_600_000, false, 75, 25)));
        assertThat(fleet.runUntil(30 * S, () -> sharesAre(fleet, 24, 8))).isTrue();
        updateTerms(fleet, "op1", proposing(agreement(2, 0, fleet.wallMs() + 3_600_000, false, 25, 75)));
        fleet.runUntil(20 * S, () -> !sharesAre(fleet, 24, 8));
        assertThat(fleet.node(0).view().shardAssignment().shardCountOf("op1")).isLessThan(24); // at most 8 moves
        assertThat(fleet.runUntil(60 * S, () -> sharesAre(fleet, 8, 24))).isTrue();
        assertThat(fleet.violations()).isEmpty();
    }

    @Test
    void aProposalThatOnePartyRejectsIsAnsweredWithTheReasonAndACounterProposal() {
        FleetSimulation fleet = settledFleet(4, 2, 2);
        fleet.recordEvents();
        updateTerms(fleet, "op1", new AgreementTerms(null, 0.4, 1_000, 0, ALONE_MS, SHARDS, 400L * 86_400_000, false));
        updateTerms(
                fleet,
                "op0",
                new AgreementTerms(
                        agreement(1, 0, fleet.wallMs() + 3_600_000, false, 90, 10),
                        0.5,
                        1_000,
                        0,
                        ALONE_MS,
                        SHARDS,
                        400L * 86_400_000,
                        false));
        assertThat(fleet.runUntil(
                        40 * S, () -> fleet.node(0).view().shardAssignment().agreement() != null))
                .isTrue();
        assertThat(fleet.events())
                .anyMatch(e -> e.contains("refuses") && e.contains("owed: 0.100 of all for op1, which wants 0.400"));
        assertThat(fleet.node(0)
                        .view()
                        .shardAssignment()
                        .agreement()
                        .party("op1")
                        .share())
                .isEqualTo(60); // 0.4 of 150
        assertThat(fleet.violations()).isEmpty();
    }

    @Test
    void proposalsThatTheirOperatorNoLongerSendsExpireAndMakeRoom() {
        FleetSimulation fleet = settledFleet(4, 2, 8);
        updateTerms(fleet, "op1", AgreementTerms.NONE);
        for (int i = 0; i < 40; i++) { // more than a member keeps at a time
            updateTerms(fleet, "op0", proposing(agreement(1, 0, fleet.wallMs() + 3_600_000 + i, false, 75, 25)));
            fleet.runFor(S / 2);
        }
        fleet.runFor(62 * S);
        updateTerms(fleet, "op1", proposing(agreement(1, 0, fleet.wallMs() + 1_800_000, false, 25, 75)));
        assertThat(fleet.runUntil(
                        60 * S, () -> fleet.node(0).view().shardAssignment().agreement() != null))
                .isTrue();
        assertThat(fleet.violations()).isEmpty();
    }

    @Test
    void noAgreementComesIntoForceWithoutTheApprovalOfAPartyAcrossAPartition() {
        FleetSimulation fleet = settledFleet(5, 2, 3);
        fleet.setLinkFilter((a, b) -> a.compareTo("m003") >= 0 == b.compareTo("m003") >= 0); // cuts off one of each
        for (SimulatedNode node : fleet.nodes()) {
            if (node.name().equals("m003")) {
                continue; // would approve, but is cut off; in the majority, m001 answers for op1 and approves nothing
            }
            fleet.setTerms(
                    node,
                    node.operator().equals("op0")
                            ? proposing(agreement(1, 0, fleet.wallMs() + 3_600_000, false, 75, 25))
                            : AgreementTerms.NONE);
        }
        fleet.runFor(40 * S);
        assertThat(fleet.node(0).view().shardAssignment().agreement()).isNull();
        assertThat(fleet.violations()).isEmpty();
    }

    @Test
    void anOperatorCutOffActsAloneUntilItsLeaseEndsAndOthersStandInOnlyWhereAgreed() {
        for (boolean standIn : new boolean[] {false, true}) {
            FleetSimulation fleet = settledFleet(5, 2, 4); // op0 has three members, op1 two
            updateTerms(fleet, "op0", proposing(agreement(1, 0, fleet.wallMs() + 3_600_000, standIn, 50, 50)));
            assertThat(fleet.runUntil(
                            30 * S, () -> fleet.node(0).view().shardAssignment().agreement() != null))
                    .isTrue();
            fleet.runFor(12 * S);
            Set<String> cutOff = Set.of("m001", "m003");
            fleet.setLinkFilter((a, b) -> cutOff.contains(a) == cutOff.contains(b));
            fleet.runFor(2 * S);
            assertThat(sharesAre(fleet, 16, 16)).isTrue();
            fleet.runFor(76 * S);
            assertThat(sharesAre(fleet, standIn ? 32 : 16, 0)).isTrue();
            fleet.heal();
            assertThat(fleet.runUntil(60 * S, () -> sharesAre(fleet, 16, 16))).isTrue();
            assertThat(fleet.violations()).isEmpty();
        }
    }

    @Test
    void aNoticeEndsAnAgreementAfterItsNoticePeriodAndLeavesEachPartyItsFloor() {
        FleetSimulation fleet = settledFleet(4, 2, 5);
        updateTerms(fleet, "op0", proposing(agreement(1, 0, fleet.wallMs() + 3_600_000, false, 75, 25)));
        assertThat(fleet.runUntil(40 * S, () -> sharesAre(fleet, 24, 8))).isTrue();
        updateTerms(fleet, "op1", new AgreementTerms(null, 2, 0, 0, 0, 0, 0, true));
        assertThat(fleet.runUntil(
                        20 * S,
                        () -> fleet.node(0).view().shardAssignment().agreement().revision() == 2))
                .isTrue();
        fleet.runFor(8 * S);
        assertThat(sharesAre(fleet, 24, 8)).isTrue(); // within the notice period of 20 s
        assertThat(fleet.runUntil(60 * S, () -> sharesAre(fleet, 16, 16))).isTrue();
        assertThat(fleet.node(0).view().shardAssignment().expired()).isTrue();
        assertThat(fleet.violations()).isEmpty();
    }

    @Test
    void agreementsAndOwnersSurviveARestartOfAllMembersAndOneOperatorsLossOfItsStores() {
        FleetSimulation fleet = settledFleet(6, 2, 6);
        updateTerms(fleet, "op0", proposing(agreement(1, 0, fleet.wallMs() + 3_600_000, false, 75, 25)));
        assertThat(fleet.runUntil(40 * S, () -> sharesAre(fleet, 24, 8))).isTrue();
        PartnerAgreement before = fleet.node(0).view().shardAssignment().agreement();
        fleet.nodes().forEach(fleet::kill);
        fleet.runFor(2 * S);
        fleet.nodes().forEach(node -> fleet.start(node, !node.operator().equals("op1") || node.gateway() == 1));
        assertThat(fleet.runUntil(60 * S, fleet::hasConverged)).isTrue();
        assertThat(fleet.runUntil(40 * S, () -> sharesAre(fleet, 24, 8))).isTrue();
        assertThat(fleet.node(0).view().shardAssignment().agreement()).isEqualTo(before);
        assertThat(fleet.violations()).isEmpty();
    }

    @Test
    void anOwnerCutOffKeepsActingWhileItsShardMovesTwiceAndTheThirdOwnerWaitsForIt() {
        FleetSimulation fleet = settledFleet(7, 3, 7); // op0 has three members, op1 and op2 two each
        int[][] shares = {{80, 10, 10}, {10, 80, 10}, {10, 10, 80}};
        for (int revision = 1; revision <= 3; revision++) {
            List<Party> parties = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                parties.add(new Party("op" + i, 100, shares[revision - 1][i], 0));
            }
            updateTerms(
                    fleet,
                    "op0",
                    proposing(new PartnerAgreement(
                            "pact",
                            revision,
                            parties,
                            0,
                            fleet.wallMs() + 3_600_000,
                            ALONE_MS,
                            false,
                            SHARDS,
                            1_000,
                            0)));
            int step = revision;
            assertThat(fleet.runUntil(
                            30 * S, () -> fleet.node(1).view().shardAssignment().shardCountOf("op" + (step - 1)) >= 25))
                    .isTrue();
            if (revision == 1) {
                fleet.runFor(25 * S);
                assertThat(fleet.activeShardCounts().get("op0")).isEqualTo(26);
                fleet.setLinkFilter((a, b) -> a.equals("m003") == b.equals("m003")); // op0's m003 acts for 10 s
            }
        }
        assertThat(fleet.activeShardCounts().getOrDefault("op2", 0)).isLessThan(10);
        assertThat(fleet.runUntil(30 * S, () -> fleet.activeShardCounts().getOrDefault("op2", 0) == 26))
                .isTrue();
        assertThat(fleet.violations()).isEmpty();
    }

    /** No shard may have two owners when members die, pause, are cut off or amend, and clocks are wrong by seconds. */
    @Property(tries = 25, shrinking = ShrinkingMode.OFF)
    void noShardHasTwoOwnersThroughAnySchedule(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FleetSimulation fleet = newFleet(7, 3, seed);
        fleet.setStepUs(20_000);
        fleet.nodes().forEach(node -> node.setClockOffsetMs(random.nextLong(-3_000, 3_000)));
        fleet.nodes().forEach(node -> fleet.start(node, false));
        fleet.runUntil(60 * S, fleet::hasConverged);
        for (int i = 0; i < 25; i++) {
            injectRandomFault(fleet, random);
            fleet.runFor(random.nextLong(10 * S));
            fleet.setLossProbability(0);
            if (random.nextInt(3) == 0) {
                fleet.heal();
            }
            for (SimulatedNode node : fleet.nodes()) {
                if (!node.isUp() && random.nextBoolean()) {
                    fleet.start(node, random.nextInt(6) > 0);
                }
            }
        }
        assertThat(fleet.violations()).as("seed %d", seed).isEmpty();
    }

    /** Injects one fault: a member dies, pauses, is cut off or loses messages, or its operator amends. */
    private static void injectRandomFault(FleetSimulation fleet, SplittableRandom random) {
        SimulatedNode node = fleet.node(random.nextInt(7));
        switch (random.nextInt(8)) {
            case 0 -> fleet.kill(node);
            case 1 -> fleet.pause(node, random.nextLong(12 * S));
            case 2 -> fleet.setLinkFilter((a, b) -> a.equals(node.name()) == b.equals(node.name()));
            case 3 -> fleet.setLinkFilter((a, b) -> a.compareTo(node.name()) < 0 == b.compareTo(node.name()) < 0);
            case 4 -> fleet.setLinkFilter((a, b) -> !a.equals(node.name()));
            case 5 -> fleet.setLossProbability(random.nextDouble() * 0.4);
            default -> {
                ShardAssignment assignment = node.isUp() ? node.view().shardAssignment() : null;
                int next = assignment == null || assignment.agreement() == null
                        ? 1
                        : assignment.agreement().revision() + 1;
                updateTerms(
                        fleet,
                        node.operator(),
                        proposing(agreement(
                                next,
                                0,
                                fleet.wallMs() + random.nextLong(10_000, 200_000),
                                random.nextBoolean(),
                                random.nextInt(1, 100),
                                random.nextInt(1, 100),
                                random.nextInt(1, 100))));
            }
        }
    }

    // ---- The assignment rule without a fleet ----

    private static View view(ShardAssignment assignment, int number) {
        return new View(1, number, List.of(new Member("m", 1, 1, "op0", "here", 0, "127.0.0.1:1")), assignment);
    }

    /** Shares must be met within one shard, with the moves that each epoch allows, and without unnecessary moves. */
    @Property(tries = 300)
    void sharesAreMetWithinOneShardWithTheFewestMoves(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ShardAssignmentRule rule = new ShardAssignmentRule(SHARDS, ALONE_MS);
        int operators = random.nextInt(2, 6);
        int[] shares = random.ints(operators, 1, 100).toArray();
        Set<String> present = new HashSet<>();
        for (int i = 0; i < operators; i++) {
            present.add("op" + i);
        }
        PartnerAgreement agreement = agreement(1, 0, 1_000_000_000, false, shares);
        ShardAssignment assignment = rule.nextAssignment(view(null, 0), present, null, List.of(), 0);
        int number = 1;
        long nowMs = 1;
        ShardAssignment first = assignment;
        for (int epoch = 0; epoch < 12; epoch++, nowMs += 10_000) {
            for (int again = 0; again < 2; again++) {
                ShardAssignment next = rule.nextAssignment(
                        view(assignment, number++),
                        present,
                        agreement.equals(assignment.agreement()) ? null : agreement,
                        assignment.agreement() == null ? agreement.operators() : assignment.agreedBy(),
                        nowMs);
                assertThat(shardsWithAnotherOwner(assignment, next)).isLessThanOrEqualTo(agreement.maxMovesPerEpoch());
                assignment = next;
            }
        }
        double totalShare = Arrays.stream(shares).sum();
        int gained = 0;
        for (int i = 0; i < operators; i++) {
            assertThat(Math.abs(assignment.shardCountOf("op" + i) - SHARDS * shares[i] / totalShare))
                    .isLessThan(1);
            gained += Math.max(0, assignment.shardCountOf("op" + i) - first.shardCountOf("op" + i));
        }
        assertThat(shardsWithAnotherOwner(first, assignment)).isEqualTo(gained);
    }

    private static int shardsWithAnotherOwner(ShardAssignment before, ShardAssignment after) {
        int changed = 0;
        for (int i = 0; i < SHARDS; i++) {
            changed += before.owner(i).equals(after.owner(i)) ? 0 : 1;
        }
        return changed;
    }

    @Test
    void agreementsThatPromiseTooMuchContradictThemselvesOrHaveExpiredAreRejectedWithEachReason() {
        PartnerAgreement invalid = new PartnerAgreement(
                "pact",
                1,
                List.of(new Party("op0", 10, 60, 70), new Party("op1", 10, 60, 0)),
                5_000,
                4_000,
                60_000,
                false,
                0,
                10_000,
                0);
        assertThat(String.join("\n", invalid.faults(9_000, ALONE_MS)))
                .contains(
                        "owed: 120 in all, where 20 is brought",
                        "floor: op0's 70",
                        "until: not after from",
                        "until: has passed",
                        "alone: 60000 ms",
                        "moves: none");
        ShardAssignmentRule rule = new ShardAssignmentRule(SHARDS, ALONE_MS);
        PartnerAgreement valid = agreement(1, 0, 100_000, false, 50, 50);
        ShardAssignment next = rule.nextAssignment(view(null, 0), Set.of("op0", "op1"), valid, valid.operators(), 10);
        assertThat(rule.mayComeIntoForce(view(next, 1), valid, valid.operators(), 20))
                .isFalse(); // the agreement is in force already
        assertThat(rule.mayComeIntoForce(view(null, 0), valid, List.of("op0"), 20))
                .isFalse(); // approved by one party only
        assertThat(rule.violation(view(null, 0), new View(1, 1, view(null, 0).members(), next), 10))
                .isPresent(); // op1 has no member in the view
        Map<String, Integer> counts = Map.of("op0", next.shardCountOf("op0"), "op1", next.shardCountOf("op1"));
        assertThat(counts).containsEntry("op0", 16).containsEntry("op1", 16);
    }
}
