package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Endpoint;
import hopdrum.host.Method;
import hopdrum.host.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests that cannot meet their soft deadline, and those that no backend may run. */
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
                .as("says when to come back")
                .doesNotEndWith(" for 0");
        assertThat(host.callsStartingWith("attempt").size() + rejected).isGreaterThanOrEqualTo(8);
        host.calls.clear();
        host.receiveWithinQuota();
        assertThat(host.callsStartingWith("add").get(0))
                .as("units of work never sent ride back on the next call")
                .startsWith("add -");
    }

    @Test
    void aRequestThatCanOnlyBeLateIsRejectedWhileOthersQueueAndServedLateWhereNoneDo() {
        host.method = new Method(
                2_000_000, 7_500_000, Method.RetrySafety.IDEMPOTENT, Method.DeduplicationScope.ALL, 0, 0.2, false);
        host.start(1);
        List<Request> taken = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            taken.add(host.receiveWithinQuota());
        }
        int sent = host.callsStartingWith("attempt").size();
        host.advance(1_990_000);
        assertThat(host.callsStartingWith("reject"))
                .as("all that wait, but one")
                .hasSize(8 - sent - 1);
        host.endAttempt(taken.get(0), 0, Outcome.OK, 1_990_000);
        assertThat(host.callsStartingWith("attempt"))
                .as("a place is free, and nobody else waits")
                .hasSize(sent + 1);
        assertThat(host.callsStartingWith("abort")).isEmpty();
    }

    @Test
    void aClientsRetryPastItsSoftDeadlineTakesNoUnits() {
        host.start(3);
        for (int i = 0; i < 5; i++) {
            host.serve(50_000);
        }
        host.calls.clear();
        host.policy.requestReceived(99, 0, 11, 0, 1, 0, 2, 5_000_000); // 2.5 s of its client's 7.5 s are gone
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
        long first = host.callsStartingWith("attempt").get(0).endsWith("to 1") ? 1 : 2;
        host.updateEndpoint(first, Endpoint.State.GONE, 0);
        host.endAttempt(request, 0, Outcome.RESET, 1_000);
        assertThat(host.callsStartingWith("abort")).hasSize(1);
    }
}
