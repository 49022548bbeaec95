package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.QuotaLease;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against gateways of a fleet that together admit more than a quota while the counter is silent: each takes its
 * share by the agreed views, and none without a valid lease.
 */
class QuotaLeaseTest {
    private static BitSet view(int... gateways) {
        BitSet set = new BitSet();
        for (int gateway : gateways) {
            set.set(gateway);
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
        alone.quotaLease = new QuotaLease(Long.MAX_VALUE, List.of(view(0)));
        alone.start(3).advance(10_000_000);
        assertThat(admitted(alone, 6)).as("a burst of 4").isEqualTo(4);
        FakeHost half = new FakeHost();
        half.quotaLease = new QuotaLease(Long.MAX_VALUE, List.of(view(0), view(0, 1)));
        half.start(3).advance(10_000_000);
        assertThat(admitted(half, 6))
                .as("other gateways may still act on the earlier view")
                .isEqualTo(2);
    }

    @Test
    void aGatewayWhoseLeaseIsOverAdmitsNothingWhileTheCounterIsSilentAndNamesARetryAfter() {
        FakeHost host = new FakeHost();
        host.quotaLease = new QuotaLease(0, List.of(view(0, 1)));
        host.start(3).advance(10_000_000);
        assertThat(admitted(host, 3)).isZero();
        assertThat(host.callsStartingWith("reject")).hasSize(3).noneMatch(a -> a.endsWith(" for 0"));
        // A call on the counter may be made again.
        host.advance(3_000_000);
        assertThat(host.receiveCounted(2))
                .as("an answer of the counter takes precedence")
                .isNotNull();
        assertThat(host.callsStartingWith("attempt")).hasSize(1);
    }

    @Test
    void aGatewayStartsWithTheUnitsThatItsShareHasRefilledSinceItsStart() {
        FakeHost host = new FakeHost();
        host.quotaLease = new QuotaLease(Long.MAX_VALUE, List.of(view(0)));
        host.start(3).advance(500_000);
        assertThat(admitted(host, 6)).as("2 units per second for half a second").isEqualTo(1);
    }

    @Test
    void theLargestNumberOfGatewaysInAnyViewIsCountedModuloTheSizeOfTheTier() {
        QuotaLease quotaLease = new QuotaLease(1, List.of(view(0, 3), view(0, 1, 2, 3)));
        assertThat(quotaLease.maxGatewaysSharing(3, 2, 4)).isEqualTo(2);
        assertThat(quotaLease.maxGatewaysSharing(0, 4, 4)).isEqualTo(4);
        assertThat(new QuotaLease(1, List.of()).maxGatewaysSharing(0, 4, 4)).isEqualTo(1);
    }
}
