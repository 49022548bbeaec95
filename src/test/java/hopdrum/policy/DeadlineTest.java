package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Endpoint;
import hopdrum.host.Method;
import hopdrum.host.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against work whose answer would come too late, and against requests that wait although no backend may run
 * them.
 */
class DeadlineTest {
    private final FakeHost host = new FakeHost();

    @Test
    void requestsThatCannotMeetTheirSoftDeadlineAreRejectedEarlyAndTheirUnitsGoBack() {
        host.start(1);
        for (int i = 0; i < 8; i++) {
            host.receiveWithinQuota();
        }
        host.advance(1_990_000);
        int rejected = host.callsStartingWith("reject").size();
        assertThat(rejected).isGreaterThan(4);
        assertThat(host.callsStartingWith("reject").get(0))
                .as("names a retry-after time")
                .doesNotEndWith(" for 0");
        assertThat(host.callsStartingWith("attempt").size() + rejected).isGreaterThanOrEqualTo(8);
        host.calls.clear();
        host.receiveWithinQuota();
        assertThat(host.callsStartingWith("add").get(0))
                .as("the next call returns the units of requests that were never sent")
                .startsWith("add -");
    }

    @Test
    void aRequestThatCanOnlyBeLateIsRejectedWhileOthersQueueAndServedLateWhereNoneDo() {
        host.method = new Method(
                2_000_000, 7_500_000, Method.RetrySafety.IDEMPOTENT, Method.DeduplicationScope.ALL, 0, 0.2, false);
        host.start(1);
        List<Request> requests = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            requests.add(host.receiveWithinQuota());
        }
        int attempts = host.callsStartingWith("attempt").size();
        host.advance(1_990_000);
        assertThat(host.callsStartingWith("reject"))
                .as("all waiting requests except one")
                .hasSize(8 - attempts - 1);
        host.endAttempt(requests.get(0), 0, Outcome.OK, 1_990_000);
        assertThat(host.callsStartingWith("attempt"))
                .as("a backend has capacity, and no other request waits")
                .hasSize(attempts + 1);
        assertThat(host.callsStartingWith("abort")).isEmpty();
    }

    @Test
    void aClientsRetryPastItsSoftDeadlineTakesNoUnits() {
        host.start(3);
        for (int i = 0; i < 5; i++) {
            host.serve(50_000);
        }
        host.calls.clear();
        // 2.5 s of the client's 7.5 s have passed.
        host.policy.requestReceived(99, 0, 11, 0, 1, 0, 2, 5_000_000);
        assertThat(host.calls).containsExactly("reject 99 for 0");
    }

    @Test
    void aRetryThatNoListedBackendMayRunIsAbortedAtOnce() {
        host.method = new Method(
                2_000_000,
                7_500_000,
                Method.RetrySafety.DEDUPLICATED,
                Method.DeduplicationScope.CELL,
                6_000_000,
                0,
                false);
        host.start(2);
        Request request = host.receiveWithinQuota();
        long firstBackend = host.callsStartingWith("attempt").get(0).endsWith("to 1") ? 1 : 2;
        host.updateEndpoint(firstBackend, Endpoint.State.GONE, 0);
        host.endAttempt(request, 0, Outcome.RESET, 1_000);
        assertThat(host.callsStartingWith("abort")).hasSize(1);
    }
}
