package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Endpoint;
import hopdrum.host.Outcome;
import hopdrum.host.ZoneLatencies;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against needless round trips to far zones, and against the network being taken for slowness of a backend. Zone
 * 0 is near, zone 1 is far.
 */
class ZoneLatencyRoutingTest {
    private final FakeHost host = new FakeHost();

    /** Starts a gateway with backends 1 and 2 in the near zone and 3 and 4 in the far zone. */
    private void start(long farExtraRoundTripUs) {
        host.gateways = 1;
        host.start(0);
        host.zoneLatencies = new ZoneLatencies(new long[] {0, farExtraRoundTripUs});
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
    void aFreeNearBackendIsPickedBeforeAFarOneAndAFarOneBeforeALongQueue() {
        start(700_000);
        assertThat(attemptsOf(4))
                .as("two near attempts, then a second at each: still sooner than the round trip")
                .isNotEmpty()
                .noneMatch(call -> call.endsWith("3") || call.endsWith("4"));
        assertThat(attemptsOf(6))
                .as("the near queue takes longer than the round trip")
                .anyMatch(call -> call.endsWith("3") || call.endsWith("4"));
    }

    @Test
    void aRequestWithLittleTimeLeftStaysNearThoughTheQueueIsLonger() {
        start(1_900_000);
        assertThat(attemptsOf(6)).isNotEmpty().noneMatch(call -> call.endsWith("3") || call.endsWith("4"));
    }

    @Test
    void anEjectedNearZoneLeavesTheFarOne() {
        start(100_000);
        List<Request> requests = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            requests.add(host.receiveWithinQuota());
        }
        for (int i = 0; i < 12; i++) {
            String attempt = host.callsStartingWith("attempt " + (i + 1) + " ").get(0);
            host.endAttempt(
                    requests.get(i),
                    0,
                    attempt.endsWith("1") || attempt.endsWith("2") ? Outcome.ERROR : Outcome.OK,
                    150_000);
        }
        assertThat(attemptsOf(2)).isNotEmpty().allMatch(call -> call.endsWith("3") || call.endsWith("4"));
    }

    @Test
    void theNetworkRoundTripDoesNotCountAsSlownessOfAFarBackend() {
        start(400_000);
        for (int i = 0; i < 30; i++) {
            Request request = host.receiveWithinQuota();
            String attempt = host.callsStartingWith("attempt " + (i + 1) + " ").get(0);
            host.endAttempt(request, 0, Outcome.OK, attempt.endsWith("3") || attempt.endsWith("4") ? 450_000 : 50_000);
        }
        // Without a latency map, all four backends are equal from here on.
        host.zoneLatencies = null;
        List<String> sent = attemptsOf(4);
        assertThat(sent).anyMatch(call -> call.endsWith("3") || call.endsWith("4"));
        assertThat(sent).anyMatch(call -> call.endsWith("1") || call.endsWith("2"));
    }
}
