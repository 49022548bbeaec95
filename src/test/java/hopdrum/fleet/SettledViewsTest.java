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

/**
 * Settled views and the leases on them under partitions, slow disks, kills, restarts and pauses, in fleets that run in
 * virtual time. The simulation checks its invariants at each step.
 */
class SettledViewsTest {
    private static final long SECOND_US = 1_000_000;
    private static final FleetTiming TIMING = new FleetTiming(SECOND_US, 5 * SECOND_US, 3_600 * SECOND_US);

    private static FleetSimulation settledFleet(int members, long seed) {
        FleetSimulation fleet = new FleetSimulation(members, Math.min(5, members), TIMING, seed);
        fleet.nodes().forEach(node -> fleet.start(node, false));
        assertThat(fleet.runUntil(60 * SECOND_US, fleet::hasConverged)).isTrue();
        fleet.runFor(12 * SECOND_US); // leases of an earlier era would have expired
        return fleet;
    }

    private static boolean holdsLease(FleetSimulation fleet, SimulatedNode node) {
        return fleet.nowUs() < node.membership().viewConsensus().lease().expiresAtUs(fleet.nowUs());
    }

    /**
     * Guards against two sides acting on different views. A partition separates two of five members: the majority
     * settles a view without them, while they must keep theirs and lose their leases on it.
     */
    @Test
    void aMinorityKeepsItsSettledViewReportsThatItIsCutOffAndClaimsNothingAfterItsLease() {
        FleetSimulation fleet = settledFleet(5, 1);
        long numberBefore = fleet.node(0).view().number();
        fleet.setLinkFilter((a, b) -> a.compareTo("m002") < 0 == b.compareTo("m002") < 0);
        assertThat(fleet.runUntil(
                        20 * SECOND_US, () -> fleet.node(3).view().members().size() == 3))
                .isTrue();
        fleet.runFor(6 * SECOND_US);
        for (SimulatedNode cut : fleet.nodes().subList(0, 2)) {
            assertThat(cut.view().number()).isEqualTo(numberBefore);
            assertThat(cut.membership().viewConsensus().lease().isCutOff()).isTrue();
            assertThat(holdsLease(fleet, cut)).isFalse();
        }
        assertThat(holdsLease(fleet, fleet.node(3))).isTrue();
        assertThat(fleet.node(3).membership().viewConsensus().lease().liveViews(fleet.nowUs()))
                .hasSize(1);
        fleet.heal();
        assertThat(fleet.runUntil(20 * SECOND_US, fleet::hasConverged)).isTrue();
        assertThat(fleet.violations()).isEmpty();
    }

    /**
     * Guards against a slow disk blocking a member, so that it would be suspected. One member's writes take four probe
     * periods, and the last view needs that member's vote.
     */
    @Test
    void aDiskThatTakesFourPeriodsAWriteMakesNoMemberSuspectedAndItsVotesCountOnceTheyAreDurable() {
        FleetSimulation fleet = settledFleet(5, 3);
        fleet.recordEvents();
        fleet.setDiskWriteUs(name -> name.equals("m001") ? 4 * SECOND_US : 0);
        fleet.kill(fleet.node(4));
        assertThat(fleet.runUntil(12 * SECOND_US, fleet::hasConverged)).isTrue();
        fleet.kill(fleet.node(3)); // without the slow member, two of four voters are left, which is no majority
        assertThat(fleet.runUntil(90 * SECOND_US, fleet::hasConverged)).isTrue();
        assertThat(fleet.events()).noneMatch(e -> e.contains(" m001 woke") || e.contains("member [who, m001"));
        assertThat(fleet.violations()).isEmpty();
    }

    /**
     * Guards against a fleet that waits for a coordinator without a vote. The first member by name is restarted without
     * its store, and so with another voter number.
     */
    @Test
    void theFirstByNameRestartedWithoutItsStoreHasNoVoteAndAnotherCoordinatorAdmitsIt() {
        FleetSimulation fleet = settledFleet(5, 4);
        fleet.kill(fleet.node(0));
        fleet.runFor(SECOND_US);
        fleet.start(fleet.node(0), false);
        assertThat(fleet.runUntil(15 * SECOND_US, fleet::hasConverged)).isTrue();
        assertThat(fleet.violations()).isEmpty();
    }

    /** Guards against half of the members counting as a majority. A partition splits a fleet of four in two halves. */
    @Test
    void twoHalvesOfFourSettleNothingAndNeitherHoldsALease() {
        FleetSimulation fleet = settledFleet(4, 2);
        long numberBefore = fleet.node(0).view().number();
        fleet.setLinkFilter((a, b) -> a.compareTo("m002") < 0 == b.compareTo("m002") < 0);
        fleet.runFor(40 * SECOND_US);
        assertThat(fleet.nodes()).allMatch(n -> n.view().number() == numberBefore && !holdsLease(fleet, n));
        fleet.heal();
        assertThat(fleet.runUntil(20 * SECOND_US, fleet::hasConverged)).isTrue();
        assertThat(fleet.violations()).isEmpty();
    }

    /**
     * Guards against claiming a share twice. A member is restarted, while the lease of its earlier start may still be
     * live.
     */
    @Test
    void aRestartedMemberClaimsNothingBeforeItsPredecessorsLeaseHasExpired() {
        FleetSimulation fleet = settledFleet(3, 3);
        SimulatedNode node = fleet.node(1);
        fleet.kill(node);
        fleet.start(node, true);
        assertThat(fleet.runUntil(10 * SECOND_US, fleet::hasConverged)).isTrue();
        assertThat(holdsLease(fleet, node)).isFalse();
        assertThat(fleet.runUntil(12 * SECOND_US, () -> holdsLease(fleet, node)))
                .isTrue();
        assertThat(fleet.violations()).isEmpty();
    }

    /**
     * Guards against acting on an expired lease. The coordinator is paused while the others settle a view without it,
     * and resumes with its old view.
     */
    @Test
    void aCoordinatorPausedThroughAViewChangeDoesNotActOnItsOldLease() {
        FleetSimulation fleet = settledFleet(5, 4);
        SimulatedNode coordinator = fleet.node(0);
        fleet.pause(coordinator, 15 * SECOND_US);
        assertThat(fleet.runUntil(
                        15 * SECOND_US, () -> fleet.node(1).view().members().size() == 4))
                .isTrue();
        assertThat(fleet.runUntil(16 * SECOND_US, () -> fleet.nowUs() > 0 && !holdsLease(fleet, coordinator)))
                .isTrue();
        assertThat(fleet.runUntil(30 * SECOND_US, fleet::hasConverged)).isTrue();
        assertThat(fleet.violations()).isEmpty();
    }

    /**
     * Guards against a fleet that cannot start again, or that reuses view numbers. All members are killed and restarted
     * without their stores.
     */
    @Test
    void aFleetThatLostAllStoresIsFoundedAnewInAnotherEra() {
        FleetSimulation fleet = settledFleet(5, 5);
        View viewBefore = fleet.node(0).view();
        fleet.nodes().forEach(fleet::kill);
        fleet.nodes().forEach(node -> fleet.start(node, false));
        assertThat(fleet.runUntil(30 * SECOND_US, fleet::hasConverged)).isTrue();
        assertThat(fleet.node(0).view().era()).isNotEqualTo(viewBefore.era());
        assertThat(fleet.violations()).isEmpty();
    }

    /**
     * Guards against a second founding. One founder is restarted without its store, while the other members hold a
     * view.
     */
    @Test
    void aFounderThatLostItsStoreDoesNotFoundAnotherFleet() {
        FleetSimulation fleet = settledFleet(3, 6);
        long era = fleet.node(0).view().era();
        fleet.kill(fleet.node(2));
        fleet.runFor(10 * SECOND_US);
        fleet.start(fleet.node(2), false);
        assertThat(fleet.runUntil(20 * SECOND_US, fleet::hasConverged)).isTrue();
        assertThat(fleet.node(2).view().era()).isEqualTo(era);
    }

    /**
     * Guards against suspecting peers whose acks were missed during a pause. One member is paused for less than the
     * minimum suspicion timeout.
     */
    @Test
    void anObserverThatWasPausedDoesNotDropOthers() {
        FleetSimulation fleet = settledFleet(7, 7);
        fleet.clearFalsePositives();
        fleet.pause(fleet.node(3), 2_500_000); // less than the minimum suspicion timeout
        fleet.runFor(20 * SECOND_US);
        assertThat(fleet.falsePositives()).isEmpty();
        assertThat(fleet.hasConverged()).isTrue();
    }

    /**
     * Injects random faults: kills, restarts with and without stores, pauses, partitions in one or both directions,
     * message loss and delay, and slow disks. A failure reports the seed and the step at which an invariant was
     * violated.
     */
    @Property(tries = 40, shrinking = ShrinkingMode.OFF)
    void noScheduleOfFaultsBreaksAnInvariant(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int size = 3 + random.nextInt(5);
        FleetSimulation fleet = new FleetSimulation(size, Math.min(size, 3 + random.nextInt(3)), TIMING, seed);
        long slowestWriteUs = random.nextBoolean() ? 0 : random.nextLong(3 * SECOND_US);
        fleet.setDiskWriteUs(name -> slowestWriteUs * Integer.parseInt(name.substring(1)) / size);
        fleet.nodes().forEach(node -> fleet.start(node, false));
        for (int i = 0; i < 60; i++) {
            SimulatedNode node = fleet.node(random.nextInt(size));
            int cut = random.nextInt(1 << size);
            switch (random.nextInt(7)) {
                case 0 -> fleet.kill(node);
                case 1 -> fleet.pause(node, random.nextLong(12 * SECOND_US));
                case 2 ->
                    fleet.setLinkFilter((a, b) -> (cut >> Integer.parseInt(a.substring(1)) & 1)
                            == (cut >> Integer.parseInt(b.substring(1)) & 1));
                case 3 ->
                    fleet.setLinkFilter(
                            (a, b) -> (cut >> Integer.parseInt(a.substring(1)) & 1) == 0 || a.compareTo(b) < 0);
                case 4 -> fleet.setLossProbability(random.nextDouble() / 2);
                case 5 -> fleet.setMeanDelayUs(1_000 + random.nextLong(SECOND_US));
                default -> {
                    fleet.heal();
                    fleet.setLossProbability(0);
                }
            }
            fleet.nodes().stream()
                    .filter(x -> !x.isUp() && random.nextInt(3) == 0)
                    .forEach(x -> fleet.start(x, random.nextInt(5) > 0));
            fleet.runFor(random.nextLong(4 * SECOND_US));
            assertThat(fleet.violations()).as("seed %d, step %d", seed, i).isEmpty();
        }
    }
}
