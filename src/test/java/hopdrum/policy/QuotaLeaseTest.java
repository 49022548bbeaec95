package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.QuotaLease;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A silent counter with a fleet: what the settled view gives, and nothing where it may not be acted on. */
class QuotaLeaseTest {
    private static BitSet of(int... gateways) {
        BitSet set = new BitSet();
        for (int g : gateways) {
            set.set(g);
        }
        return set;
    }

    private static int letIn(FakeHost door, int rpcs) {
        door.asked.clear();
        for (int i = 0; i < rpcs; i++) {
            door.take();
        }
        door.pass(20_000);
        return door.heard("attempt").size();
    }

    @Test
    void aGatewayAloneInTheSettledViewHasTheWholeQuotaAndOneOfTwoHasHalf() {
        FakeHost alone = new FakeHost();
        alone.sharers = new QuotaLease(Long.MAX_VALUE, List.of(of(0)));
        alone.start(3).pass(10_000_000);
        assertThat(letIn(alone, 6)).as("a burst of 4").isEqualTo(4);
        FakeHost half = new FakeHost();
        half.sharers = new QuotaLease(Long.MAX_VALUE, List.of(of(0), of(0, 1)));
        half.start(3).pass(10_000_000);
        assertThat(letIn(half, 6)).as("the view before may still be acted on").isEqualTo(2);
    }

    @Test
    void aGatewayWhoseLeaseIsOverLetsNothingInWhileTheCounterIsSilentAndSaysWhenToComeBack() {
        FakeHost door = new FakeHost();
        door.sharers = new QuotaLease(0, List.of(of(0, 1)));
        door.start(3).pass(10_000_000);
        assertThat(letIn(door, 3)).isZero();
        assertThat(door.heard("refuse")).hasSize(3).noneMatch(a -> a.endsWith(" for 0"));
        door.pass(3_000_000); // a call may be made again
        assertThat(door.takeCounted(2))
                .as("the counter's word stands above all")
                .isNotNull();
        assertThat(door.heard("attempt")).hasSize(1);
    }

    @Test
    void aStartBeginsWithWhatItsSliceHasRefilledSince() {
        FakeHost door = new FakeHost();
        door.sharers = new QuotaLease(Long.MAX_VALUE, List.of(of(0)));
        door.start(3).pass(500_000);
        assertThat(letIn(door, 6)).as("2 a second, for half a second").isEqualTo(1);
    }

    @Test
    void theMostOfAllLiveViewsCountsRoundTheTier() {
        QuotaLease sharers = new QuotaLease(1, List.of(of(0, 3), of(0, 1, 2, 3)));
        assertThat(sharers.maxGatewaysSharing(3, 2, 4)).isEqualTo(2);
        assertThat(sharers.maxGatewaysSharing(0, 4, 4)).isEqualTo(4);
        assertThat(new QuotaLease(1, List.of()).maxGatewaysSharing(0, 4, 4)).isEqualTo(1);
    }
}
