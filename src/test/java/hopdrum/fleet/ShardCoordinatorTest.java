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
 * Scenarios of partners in virtual time, one failure each. The swarm checks at each step that no shard has two owners.
 */
class ShardCoordinatorTest {
    private static final long S = 1_000_000;
    private static final FleetTiming TIMING = new FleetTiming(S, 5 * S, 3_600 * S);
    private static final int SHARDS = 32;
    private static final long ALONE_MS = 10_000;

    static PartnerAgreement terms(int revision, long fromMs, long untilMs, boolean standIn, int... shares) {
        List<Party> parties = new ArrayList<>();
        for (int i = 0; i < shares.length; i++) {
            parties.add(new Party("op" + i, Math.max(shares[i], 100), shares[i], Math.min(shares[i], 10)));
        }
        return new PartnerAgreement(
                "pact", revision, parties, fromMs, untilMs, 5_000, standIn, SHARDS / 4, 10_000, 20_000);
    }

    private static AgreementTerms proposes(PartnerAgreement a) {
        return new AgreementTerms(a, 0, 1_000, 0, ALONE_MS, SHARDS, 400L * 86_400_000, false);
    }

    /** Members by turns one of each operator's. */
    private static FleetSimulation swarm(int members, int operators, long seed) {
        FleetSimulation swarm =
                new FleetSimulation(members, members, TIMING, seed, new ShardSettings(SHARDS, ALONE_MS));
        for (SimulatedNode node : swarm.nodes()) {
            node.setOperator("op" + node.gateway() % operators);
            swarm.follow(node, new AgreementTerms(null, 0, 1_000, 0, ALONE_MS, SHARDS, 400L * 86_400_000, false));
        }
        return swarm;
    }

    private static FleetSimulation settled(int members, int operators, long seed) {
        FleetSimulation swarm = swarm(members, operators, seed);
        swarm.nodes().forEach(node -> swarm.start(node, false));
        assertThat(swarm.until(60 * S, swarm::isSettled)).isTrue();
        assertThat(swarm.until(
                        40 * S,
                        () -> swarm.acting().values().stream().mapToInt(n -> n).sum() == SHARDS))
                .isTrue();
        return swarm;
    }

    private static boolean shares(FleetSimulation swarm, Integer... counts) {
        List<Integer> now = new ArrayList<>();
        for (int i = 0; i < counts.length; i++) {
            now.add(swarm.acting().getOrDefault("op" + i, 0));
        }
        return now.equals(List.of(counts));
    }

    private static void updateTerms(FleetSimulation swarm, String operator, AgreementTerms terms) {
        swarm.nodes().stream().filter(n -> n.operator().equals(operator)).forEach(n -> swarm.follow(n, terms));
    }

    @Test
    void sharesAreEvenWithoutAnAgreementAndAnAgreedOneMovesThemWithinTheEpochsBudget() {
        FleetSimulation swarm = settled(6, 2, 1);
        assertThat(shares(swarm, 16, 16)).isTrue();
        updateTerms(swarm, "op0", proposes(terms(1, 0, swarm.wallMs() + 3_600_000, false, 75, 25)));
        assertThat(swarm.until(30 * S, () -> shares(swarm, 24, 8))).isTrue();
        updateTerms(swarm, "op1", proposes(terms(2, 0, swarm.wallMs() + 3_600_000, false, 25, 75)));
        swarm.until(20 * S, () -> !shares(swarm, 24, 8));
        assertThat(swarm.node(0).view().shardAssignment().count("op1")).isLessThan(24); // 8 an epoch at most
        assertThat(swarm.until(60 * S, () -> shares(swarm, 8, 24))).isTrue();
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void aProposalThatOnePartyRejectsIsAnsweredWithTheReasonAndACounterProposal() {
        FleetSimulation swarm = settled(4, 2, 2);
        swarm.recordEvents();
        updateTerms(swarm, "op1", new AgreementTerms(null, 0.4, 1_000, 0, ALONE_MS, SHARDS, 400L * 86_400_000, false));
        updateTerms(
                swarm,
                "op0",
                new AgreementTerms(
                        terms(1, 0, swarm.wallMs() + 3_600_000, false, 90, 10),
                        0.5,
                        1_000,
                        0,
                        ALONE_MS,
                        SHARDS,
                        400L * 86_400_000,
                        false));
        assertThat(swarm.until(
                        40 * S, () -> swarm.node(0).view().shardAssignment().agreement() != null))
                .isTrue();
        assertThat(swarm.events())
                .anyMatch(e -> e.contains("refuses") && e.contains("owed: 0.100 of all for op1, which wants 0.400"));
        assertThat(swarm.node(0)
                        .view()
                        .shardAssignment()
                        .agreement()
                        .party("op1")
                        .share())
                .isEqualTo(60); // 0.4 of 150
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void proposalsThatTheirOperatorNoLongerSendsExpireAndMakeRoom() {
        FleetSimulation swarm = settled(4, 2, 8);
        updateTerms(swarm, "op1", AgreementTerms.NONE);
        for (int i = 0; i < 40; i++) { // more than are known at once
            updateTerms(swarm, "op0", proposes(terms(1, 0, swarm.wallMs() + 3_600_000 + i, false, 75, 25)));
            swarm.run(S / 2);
        }
        swarm.run(62 * S);
        updateTerms(swarm, "op1", proposes(terms(1, 0, swarm.wallMs() + 1_800_000, false, 25, 75)));
        assertThat(swarm.until(
                        60 * S, () -> swarm.node(0).view().shardAssignment().agreement() != null))
                .isTrue();
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void noAgreementComesIntoForceWithoutTheApprovalOfAPartyAcrossAPartition() {
        FleetSimulation swarm = settled(5, 2, 3);
        swarm.setLinkFilter((a, b) ->
                a.compareTo("m003") >= 0 == b.compareTo("m003") >= 0); // m003 and m004, one of each, are cut off
        for (SimulatedNode node : swarm.nodes()) {
            if (node.name().equals("m003")) { // op1's other one is in the majority and agrees for it
                continue;
            }
            swarm.follow(
                    node,
                    node.operator().equals("op0")
                            ? proposes(terms(1, 0, swarm.wallMs() + 3_600_000, false, 75, 25))
                            : AgreementTerms.NONE);
        }
        swarm.run(40 * S);
        assertThat(swarm.node(0).view().shardAssignment().agreement()).isNull();
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void anOperatorCutOffActsAloneUntilItsLeaseEndsAndOthersStandInOnlyWhereAgreed() {
        for (boolean standIn : new boolean[] {false, true}) {
            FleetSimulation swarm = settled(5, 2, 4); // op0 has three, op1 two
            updateTerms(swarm, "op0", proposes(terms(1, 0, swarm.wallMs() + 3_600_000, standIn, 50, 50)));
            assertThat(swarm.until(
                            30 * S, () -> swarm.node(0).view().shardAssignment().agreement() != null))
                    .isTrue();
            swarm.run(12 * S);
            Set<String> cut = Set.of("m001", "m003");
            swarm.setLinkFilter((a, b) -> cut.contains(a) == cut.contains(b));
            swarm.run(2 * S);
            assertThat(shares(swarm, 16, 16)).isTrue();
            swarm.run(76 * S);
            assertThat(shares(swarm, standIn ? 32 : 16, 0)).isTrue();
            swarm.heal();
            assertThat(swarm.until(60 * S, () -> shares(swarm, 16, 16))).isTrue();
            assertThat(swarm.violations()).isEmpty();
        }
    }

    @Test
    void aNoticeEndsAnAgreementAfterItsNoticePeriodAndLeavesEachPartyItsFloor() {
        FleetSimulation swarm = settled(4, 2, 5);
        updateTerms(swarm, "op0", proposes(terms(1, 0, swarm.wallMs() + 3_600_000, false, 75, 25)));
        assertThat(swarm.until(40 * S, () -> shares(swarm, 24, 8))).isTrue();
        updateTerms(swarm, "op1", new AgreementTerms(null, 2, 0, 0, 0, 0, 0, true));
        assertThat(swarm.until(
                        20 * S,
                        () -> swarm.node(0).view().shardAssignment().agreement().revision() == 2))
                .isTrue();
        swarm.run(8 * S);
        assertThat(shares(swarm, 24, 8)).isTrue(); // 20 s of notice
        assertThat(swarm.until(60 * S, () -> shares(swarm, 16, 16))).isTrue();
        assertThat(swarm.node(0).view().shardAssignment().expired()).isTrue();
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void agreementsAndOwnersSurviveARestartOfAllMembersAndOneOperatorsLossOfItsStores() {
        FleetSimulation swarm = settled(6, 2, 6);
        updateTerms(swarm, "op0", proposes(terms(1, 0, swarm.wallMs() + 3_600_000, false, 75, 25)));
        assertThat(swarm.until(40 * S, () -> shares(swarm, 24, 8))).isTrue();
        PartnerAgreement before = swarm.node(0).view().shardAssignment().agreement();
        swarm.nodes().forEach(swarm::kill);
        swarm.run(2 * S);
        swarm.nodes().forEach(n -> swarm.start(n, !n.operator().equals("op1") || n.gateway() == 1));
        assertThat(swarm.until(60 * S, swarm::isSettled)).isTrue();
        assertThat(swarm.until(40 * S, () -> shares(swarm, 24, 8))).isTrue();
        assertThat(swarm.node(0).view().shardAssignment().agreement()).isEqualTo(before);
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void anOwnerCutOffKeepsActingWhileItsShardMovesTwiceAndTheThirdOwnerWaitsForIt() {
        FleetSimulation swarm = settled(7, 3, 7); // op0 has three, op1 and op2 two each
        int[][] shares = {{80, 10, 10}, {10, 80, 10}, {10, 10, 80}};
        for (int revision = 1; revision <= 3; revision++) {
            List<Party> parties = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                parties.add(new Party("op" + i, 100, shares[revision - 1][i], 0));
            }
            updateTerms(
                    swarm,
                    "op0",
                    proposes(new PartnerAgreement(
                            "pact",
                            revision,
                            parties,
                            0,
                            swarm.wallMs() + 3_600_000,
                            ALONE_MS,
                            false,
                            SHARDS,
                            1_000,
                            0)));
            int wanted = revision;
            assertThat(swarm.until(
                            30 * S, () -> swarm.node(1).view().shardAssignment().count("op" + (wanted - 1)) >= 25))
                    .isTrue();
            if (revision == 1) {
                swarm.run(25 * S);
                assertThat(swarm.acting().get("op0")).isEqualTo(26);
                swarm.setLinkFilter(
                        (a, b) -> a.equals("m003") == b.equals("m003")); // one of op0's is cut off, and acts for 10 s
            }
        }
        assertThat(swarm.acting().getOrDefault("op2", 0)).isLessThan(10);
        assertThat(swarm.until(30 * S, () -> swarm.acting().getOrDefault("op2", 0) == 26))
                .isTrue();
        assertThat(swarm.violations()).isEmpty();
    }

    /** Whatever dies, pauses, is cut off, has a clock that is wrong by seconds or amends: no shard has two owners. */
    @Property(tries = 25, shrinking = ShrinkingMode.OFF)
    void noShardHasTwoOwnersThroughAnySchedule(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FleetSimulation swarm = swarm(7, 3, seed);
        swarm.setStepUs(20_000);
        swarm.nodes().forEach(node -> node.setClockOffsetMs(random.nextLong(-3_000, 3_000)));
        swarm.nodes().forEach(node -> swarm.start(node, false));
        swarm.until(60 * S, swarm::isSettled);
        for (int i = 0; i < 25; i++) {
            injectRandomFault(swarm, random);
            swarm.run(random.nextLong(10 * S));
            swarm.setLoss(0);
            if (random.nextInt(3) == 0) {
                swarm.heal();
            }
            for (SimulatedNode n : swarm.nodes()) {
                if (!n.isUp() && random.nextBoolean()) {
                    swarm.start(n, random.nextInt(6) > 0);
                }
            }
        }
        assertThat(swarm.violations()).as("seed %d", seed).isEmpty();
    }

    /** One member dies, pauses, is cut off or loses messages, or its operator proposes an amendment. */
    private static void injectRandomFault(FleetSimulation swarm, SplittableRandom random) {
        SimulatedNode node = swarm.node(random.nextInt(7));
        switch (random.nextInt(8)) {
            case 0 -> swarm.kill(node);
            case 1 -> swarm.pause(node, random.nextLong(12 * S));
            case 2 -> swarm.setLinkFilter((a, b) -> a.equals(node.name()) == b.equals(node.name()));
            case 3 -> swarm.setLinkFilter((a, b) -> a.compareTo(node.name()) < 0 == b.compareTo(node.name()) < 0);
            case 4 -> swarm.setLinkFilter((a, b) -> !a.equals(node.name()));
            case 5 -> swarm.setLoss(random.nextDouble() * 0.4);
            default -> {
                ShardAssignment assignment = node.isUp() ? node.view().shardAssignment() : null;
                int next = assignment == null || assignment.agreement() == null
                        ? 1
                        : assignment.agreement().revision() + 1;
                updateTerms(
                        swarm,
                        node.operator(),
                        proposes(terms(
                                next,
                                0,
                                swarm.wallMs() + random.nextLong(10_000, 200_000),
                                random.nextBoolean(),
                                random.nextInt(1, 100),
                                random.nextInt(1, 100),
                                random.nextInt(1, 100))));
            }
        }
    }

    // ---- The rule alone ----

    private static View view(ShardAssignment division, int number) {
        return new View(1, number, List.of(new Member("m", 1, 1, "op0", "here", 0, "127.0.0.1:1")), division);
    }

    /** Shares are met within one shard, in so many moves an epoch, and none moves that need not. */
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
        PartnerAgreement agreement = terms(1, 0, 1_000_000_000, false, shares);
        ShardAssignment d = rule.next(view(null, 0), present, null, List.of(), 0);
        int number = 1;
        long now = 1;
        ShardAssignment first = d;
        for (int epoch = 0; epoch < 12; epoch++, now += 10_000) {
            for (int again = 0; again < 2; again++) {
                ShardAssignment next = rule.next(
                        view(d, number++),
                        present,
                        agreement.equals(d.agreement()) ? null : agreement,
                        d.agreement() == null ? agreement.operators() : d.agreedBy(),
                        now);
                assertThat(shardsWithAnotherOwner(d, next)).isLessThanOrEqualTo(agreement.maxMovesPerEpoch());
                d = next;
            }
        }
        double all = Arrays.stream(shares).sum();
        int gained = 0;
        for (int i = 0; i < operators; i++) {
            assertThat(Math.abs(d.count("op" + i) - SHARDS * shares[i] / all)).isLessThan(1);
            gained += Math.max(0, d.count("op" + i) - first.count("op" + i));
        }
        assertThat(shardsWithAnotherOwner(first, d)).isEqualTo(gained);
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
        PartnerAgreement bad = new PartnerAgreement(
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
        assertThat(String.join("\n", bad.faults(9_000, ALONE_MS)))
                .contains(
                        "owed: 120 in all, where 20 is brought",
                        "floor: op0's 70",
                        "until: not after from",
                        "until: has passed",
                        "alone: 60000 ms",
                        "moves: none");
        ShardAssignmentRule rule = new ShardAssignmentRule(SHARDS, ALONE_MS);
        PartnerAgreement good = terms(1, 0, 100_000, false, 50, 50);
        ShardAssignment d = rule.next(view(null, 0), Set.of("op0", "op1"), good, good.operators(), 10);
        assertThat(rule.mayComeIntoForce(view(d, 1), good, good.operators(), 20))
                .isFalse(); // said once more
        assertThat(rule.mayComeIntoForce(view(null, 0), good, List.of("op0"), 20))
                .isFalse(); // one party's word alone
        assertThat(rule.violation(view(null, 0), new View(1, 1, view(null, 0).members(), d), 10))
                .isPresent(); // op1 is not there
        Map<String, Integer> counts = Map.of("op0", d.count("op0"), "op1", d.count("op1"));
        assertThat(counts).containsEntry("op0", 16).containsEntry("op1", 16);
    }
}
