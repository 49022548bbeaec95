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

    private static int admitted(FakeHost host, int requests) {
        host.calls.clear();
        for (int i = 0; i < requests; i++) {
            host.receive();
        }
        host.advance(20_000);
        return host.callsStartingWith("attempt").size();
    }

    @Test
    void aGatewayAloneInTheSettledViewHasTheWholeQuotaAndOneOfTwoHasHalf() {
        FakeHost alone = new FakeHost();
        alone.quotaLease = new QuotaLease(Long.MAX_VALUE, List.of(of(0)));
        alone.start(3).advance(10_000_000);
        assertThat(admitted(alone, 6)).as("a burst of 4").isEqualTo(4);
        FakeHost half = new FakeHost();
        half.quotaLease = new QuotaLease(Long.MAX_VALUE, List.of(of(0), of(0, 1)));
        half.start(3).advance(10_000_000);
        assertThat(admitted(half, 6))
                .as("the view before may still be acted on")
                .isEqualTo(2);
    }

    @Test
    void aGatewayWhoseLeaseIsOverAdmitsNothingWhileTheCounterIsSilentAndNamesARetryAfter() {
        FakeHost host = new FakeHost();
        host.quotaLease = new QuotaLease(0, List.of(of(0, 1)));
        host.start(3).advance(10_000_000);
        assertThat(admitted(host, 3)).isZero();
        assertThat(host.callsStartingWith("reject")).hasSize(3).noneMatch(a -> a.endsWith(" for 0"));
        host.advance(3_000_000); // a call may be made again
        assertThat(host.receiveCounted(2))
                .as("the counter's word stands above all")
                .isNotNull();
        assertThat(host.callsStartingWith("attempt")).hasSize(1);
    }

    @Test
    void aStartBeginsWithWhatItsShareHasRefilledSince() {
        FakeHost host = new FakeHost();
        host.quotaLease = new QuotaLease(Long.MAX_VALUE, List.of(of(0)));
        host.start(3).advance(500_000);
        assertThat(admitted(host, 6)).as("2 a second, for half a second").isEqualTo(1);
    }

    @Test
    void theMostGatewaysOfAllLiveViewsAreCountedRoundTheTier() {
        QuotaLease quotaLease = new QuotaLease(1, List.of(of(0, 3), of(0, 1, 2, 3)));
        assertThat(quotaLease.maxGatewaysSharing(3, 2, 4)).isEqualTo(2);
        assertThat(quotaLease.maxGatewaysSharing(0, 4, 4)).isEqualTo(4);
        assertThat(new QuotaLease(1, List.of()).maxGatewaysSharing(0, 4, 4)).isEqualTo(1);
    }
}
