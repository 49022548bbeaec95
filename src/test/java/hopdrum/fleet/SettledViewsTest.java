package hopdrum.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.fleet.message.View;
import hopdrum.fleet.view.FleetTiming;
import hopdrum.rig.simulation.FleetSimulation;
import hopdrum.rig.simulation.SimulatedNode;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/** Fleets in virtual time, with one kind of failure each. The swarm checks its invariants at each step. */
class SettledViewsTest {
    private static final long SECOND_US = 1_000_000;
    private static final FleetTiming TIMING = new FleetTiming(SECOND_US, 5 * SECOND_US, 3_600 * SECOND_US);

    private static FleetSimulation settledSwarm(int members, long seed) {
        FleetSimulation swarm = new FleetSimulation(members, Math.min(5, members), TIMING, seed);
        swarm.nodes().forEach(node -> swarm.start(node, false));
        assertThat(swarm.until(60 * SECOND_US, swarm::isSettled)).isTrue();
        swarm.run(12 * SECOND_US); // leases of an earlier era would have lapsed
        return swarm;
    }

    private static boolean holdsLease(FleetSimulation swarm, SimulatedNode node) {
        return swarm.nowUs() < node.membership().viewConsensus().leases().expiresAtUs(swarm.nowUs());
    }

    @Test
    void aMinorityKeepsItsSettledViewReportsThatItIsCutOffAndClaimsNothingAfterItsLease() {
        FleetSimulation swarm = settledSwarm(5, 1);
        long numberBefore = swarm.node(0).view().number();
        swarm.setLinkFilter((a, b) -> a.compareTo("m002") < 0 == b.compareTo("m002") < 0);
        assertThat(swarm.until(
                        20 * SECOND_US, () -> swarm.node(3).view().members().size() == 3))
                .isTrue();
        swarm.run(6 * SECOND_US);
        for (SimulatedNode cut : swarm.nodes().subList(0, 2)) {
            assertThat(cut.view().number()).isEqualTo(numberBefore);
            assertThat(cut.membership().viewConsensus().leases().isCutOff()).isTrue();
            assertThat(holdsLease(swarm, cut)).isFalse();
        }
        assertThat(holdsLease(swarm, swarm.node(3))).isTrue();
        assertThat(swarm.node(3).membership().viewConsensus().leases().liveViews(swarm.nowUs()))
                .hasSize(1);
        swarm.heal();
        assertThat(swarm.until(20 * SECOND_US, swarm::isSettled)).isTrue();
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void aDiskThatTakesFourPeriodsAWriteMakesNoMemberSuspectedAndItsVotesCountOnceTheyAreDurable() {
        FleetSimulation swarm = settledSwarm(5, 3);
        swarm.recordEvents();
        swarm.setDiskWriteUs(name -> name.equals("m001") ? 4 * SECOND_US : 0);
        swarm.kill(swarm.node(4));
        assertThat(swarm.until(12 * SECOND_US, swarm::isSettled)).isTrue();
        swarm.kill(swarm.node(3)); // without the slow one there are two of four: no majority
        assertThat(swarm.until(90 * SECOND_US, swarm::isSettled)).isTrue();
        assertThat(swarm.events()).noneMatch(e -> e.contains(" m001 woke") || e.contains("member [who, m001"));
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void theFirstByNameRestartedWithoutItsStoreHasNoVoteAndAnotherCoordinatorAdmitsIt() {
        FleetSimulation swarm = settledSwarm(5, 4);
        swarm.kill(swarm.node(0));
        swarm.run(SECOND_US);
        swarm.start(swarm.node(0), false);
        assertThat(swarm.until(15 * SECOND_US, swarm::isSettled)).isTrue();
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void twoHalvesOfFourSettleNothingAndNeitherHoldsALease() {
        FleetSimulation swarm = settledSwarm(4, 2);
        long numberBefore = swarm.node(0).view().number();
        swarm.setLinkFilter((a, b) -> a.compareTo("m002") < 0 == b.compareTo("m002") < 0);
        swarm.run(40 * SECOND_US);
        assertThat(swarm.nodes()).allMatch(n -> n.view().number() == numberBefore && !holdsLease(swarm, n));
        swarm.heal();
        assertThat(swarm.until(20 * SECOND_US, swarm::isSettled)).isTrue();
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void aRestartedMemberClaimsNothingBeforeItsPredecessorsLeaseHasExpired() {
        FleetSimulation swarm = settledSwarm(3, 3);
        SimulatedNode node = swarm.node(1);
        swarm.kill(node);
        swarm.start(node, true);
        assertThat(swarm.until(10 * SECOND_US, swarm::isSettled)).isTrue();
        assertThat(holdsLease(swarm, node)).isFalse();
        assertThat(swarm.until(12 * SECOND_US, () -> holdsLease(swarm, node))).isTrue();
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void aCoordinatorPausedThroughAViewChangeDoesNotActOnItsOldLease() {
        FleetSimulation swarm = settledSwarm(5, 4);
        SimulatedNode coordinator = swarm.node(0);
        swarm.pause(coordinator, 15 * SECOND_US);
        assertThat(swarm.until(
                        15 * SECOND_US, () -> swarm.node(1).view().members().size() == 4))
                .isTrue();
        assertThat(swarm.until(16 * SECOND_US, () -> swarm.nowUs() > 0 && !holdsLease(swarm, coordinator)))
                .isTrue();
        assertThat(swarm.until(30 * SECOND_US, swarm::isSettled)).isTrue();
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void aFleetThatLostAllStoresIsFoundedAnewInAnotherEra() {
        FleetSimulation swarm = settledSwarm(5, 5);
        View viewBefore = swarm.node(0).view();
        swarm.nodes().forEach(swarm::kill);
        swarm.nodes().forEach(node -> swarm.start(node, false));
        assertThat(swarm.until(30 * SECOND_US, swarm::isSettled)).isTrue();
        assertThat(swarm.node(0).view().era()).isNotEqualTo(viewBefore.era());
        assertThat(swarm.violations()).isEmpty();
    }

    @Test
    void aFounderThatLostItsStoreDoesNotFoundAnotherFleet() {
        FleetSimulation swarm = settledSwarm(3, 6);
        long era = swarm.node(0).view().era();
        swarm.kill(swarm.node(2));
        swarm.run(10 * SECOND_US);
        swarm.start(swarm.node(2), false);
        assertThat(swarm.until(20 * SECOND_US, swarm::isSettled)).isTrue();
        assertThat(swarm.node(2).view().era()).isEqualTo(era);
    }

    @Test
    void anObserverThatWasPausedDoesNotDropOthers() {
        FleetSimulation swarm = settledSwarm(7, 7);
        swarm.clearWronglyDropped();
        swarm.pause(swarm.node(3), 2_500_000); // less than the least suspicion timeout
        swarm.run(20 * SECOND_US);
        assertThat(swarm.wronglyDropped()).isEmpty();
        assertThat(swarm.isSettled()).isTrue();
    }

    /** Kills, restarts with and without stores, pauses, cuts and losses at random: prints the seed that breaks an invariant. */
    @Property(tries = 40, shrinking = ShrinkingMode.OFF)
    void noScheduleOfFaultsBreaksAnInvariant(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int size = 3 + random.nextInt(5);
        FleetSimulation swarm = new FleetSimulation(size, Math.min(size, 3 + random.nextInt(3)), TIMING, seed);
        long slowestWriteUs = random.nextBoolean() ? 0 : random.nextLong(3 * SECOND_US);
        swarm.setDiskWriteUs(name -> slowestWriteUs * Integer.parseInt(name.substring(1)) / size);
        swarm.nodes().forEach(node -> swarm.start(node, false));
        for (int i = 0; i < 60; i++) {
            SimulatedNode node = swarm.node(random.nextInt(size));
            int cut = random.nextInt(1 << size);
            switch (random.nextInt(7)) {
                case 0 -> swarm.kill(node);
                case 1 -> swarm.pause(node, random.nextLong(12 * SECOND_US));
                case 2 ->
                    swarm.setLinkFilter((a, b) -> (cut >> Integer.parseInt(a.substring(1)) & 1)
                            == (cut >> Integer.parseInt(b.substring(1)) & 1));
                case 3 ->
                    swarm.setLinkFilter(
                            (a, b) -> (cut >> Integer.parseInt(a.substring(1)) & 1) == 0 || a.compareTo(b) < 0);
                case 4 -> swarm.setLoss(random.nextDouble() / 2);
                case 5 -> swarm.setDelayUs(1_000 + random.nextLong(SECOND_US));
                default -> {
                    swarm.heal();
                    swarm.setLoss(0);
                }
            }
            swarm.nodes().stream()
                    .filter(x -> !x.isUp() && random.nextInt(3) == 0)
                    .forEach(x -> swarm.start(x, random.nextInt(5) > 0));
            swarm.run(random.nextLong(4 * SECOND_US));
            assertThat(swarm.violations()).as("seed %d, step %d", seed, i).isEmpty();
        }
    }
}
