package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Endpoint;
import hopdrum.host.Outcome;
import hopdrum.host.ZoneLatencies;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Where requests go when a map tells how far zones are: zone 0 is here, zone 1 is far. */
class ZoneLatencyRoutingTest {
    private final FakeHost host = new FakeHost();

    /** Backends 1 and 2 here, 3 and 4 far. */
    private void start(long farUs) {
        host.gateways = 1;
        host.start(0);
        host.zoneLatencies = new ZoneLatencies(new long[] {0, farUs});
        for (int i = 1; i <= 4; i++) {
            host.policy.endpointsUpdated(
                    0,
                    Endpoint.UpdateKind.INCREMENTAL,
                    List.of(new Endpoint(i, i <= 2 ? 0 : 1, 0, i, Endpoint.State.READY, 1, 0)));
        }
        host.advance(10_000);
    }

    private List<String> attemptsOf(int requests) {
        host.calls.clear();
        for (int i = 0; i < requests; i++) {
            host.receiveWithinQuota();
        }
        return host.callsStartingWith("attempt");
    }

    @Test
    void aFreeBackendNearIsPickedBeforeAFarOneAndAFarOneBeforeALongQueue() {
        start(700_000);
        assertThat(attemptsOf(4))
                .as("two here, then a second each: still sooner than the round trip")
                .isNotEmpty()
                .noneMatch(c -> c.endsWith("3") || c.endsWith("4"));
        assertThat(attemptsOf(6))
                .as("the queue here is longer than the round trip")
                .anyMatch(c -> c.endsWith("3") || c.endsWith("4"));
    }

    @Test
    void aRequestWithLittleTimeLeftStaysNearThoughTheQueueIsLonger() {
        start(1_900_000);
        assertThat(attemptsOf(6)).isNotEmpty().noneMatch(c -> c.endsWith("3") || c.endsWith("4"));
    }

    @Test
    void anEjectedNearZoneLeavesTheFarOne() {
        start(100_000);
        List<Request> requests = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            requests.add(host.receiveWithinQuota());
        }
        for (int i = 0; i < 12; i++) {
            String to = host.callsStartingWith("attempt " + (i + 1) + " ").get(0);
            host.endAttempt(
                    requests.get(i), 0, to.endsWith("1") || to.endsWith("2") ? Outcome.ERROR : Outcome.OK, 150_000);
        }
        assertThat(attemptsOf(2)).isNotEmpty().allMatch(c -> c.endsWith("3") || c.endsWith("4"));
    }

    @Test
    void theNetworkRoundTripDoesNotCountAsSlownessOfAFarBackend() {
        start(400_000);
        for (int i = 0; i < 30; i++) {
            Request request = host.receiveWithinQuota();
            String to = host.callsStartingWith("attempt " + (i + 1) + " ").get(0);
            host.endAttempt(request, 0, Outcome.OK, to.endsWith("3") || to.endsWith("4") ? 450_000 : 50_000);
        }
        host.zoneLatencies = null; // from here on as without a map: all four are as good
        List<String> sent = attemptsOf(4);
        assertThat(sent).anyMatch(c -> c.endsWith("3") || c.endsWith("4"));
        assertThat(sent).anyMatch(c -> c.endsWith("1") || c.endsWith("2"));
    }
}
