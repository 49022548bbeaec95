package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Endpoint;
import hopdrum.host.Method;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards the rules that hold whatever fails: exactly one final answer, no unsafe repeat of a request, and respect for
 * draining backends, slow start, ceilings and limits.
 */
class ForwardingRulesTest {
    private final FakeHost host = new FakeHost();

    private void setMethod(Method.RetrySafety retrySafety, Method.DeduplicationScope scope) {
        host.method = new Method(2_000_000, 7_500_000, retrySafety, scope, 1_000_000, 0, false);
    }

    @Test
    void aRequestThatNobodyAnswersIsGivenUpBeforeItsDeadlineAndOnlyOnce() {
        host.start(1);
        Request request = host.receiveWithinQuota();
        host.advance(7_490_000);
        assertThat(host.callsStartingWith("reject 1")).hasSize(1);
        host.endAttempt(request, 0, Outcome.CANCELLED, 2_000_000);
        assertThat(host.callsStartingWith("reject 1")).hasSize(1);
        assertThat(request.isFinished()).isTrue();
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunIsAbortedAndNeverRetried() {
        setMethod(Method.RetrySafety.NON_IDEMPOTENT, Method.DeduplicationScope.ALL);
        host.start(3);
        Request request = host.receiveWithinQuota();
        host.endAttempt(request, 0, Outcome.ERROR, 5_000);
        assertThat(host.callsStartingWith("attempt 1 ")).hasSize(1);
        assertThat(host.callsStartingWith("abort 1")).hasSize(1);
        assertThat(host.callsStartingWith("reject")).isEmpty();
    }

    @Test
    void aNonIdempotentRequestThatIsKnownNotToHaveRunMayBeRetried() {
        setMethod(Method.RetrySafety.NON_IDEMPOTENT, Method.DeduplicationScope.ALL);
        host.start(3);
        host.endAttempt(host.receiveWithinQuota(), 0, Outcome.AT_CAPACITY, 5_000);
        assertThat(host.callsStartingWith("attempt 1 ")).hasSize(2);
    }

    @Test
    void aDeduplicatedRequestStaysInTheCellOfItsFirstAttemptAndIsNeverRejected() {
        setMethod(Method.RetrySafety.DEDUPLICATED, Method.DeduplicationScope.CELL);
        host.start(4);
        Request request = host.receiveWithinQuota();
        for (int i = 0; i < 3; i++) {
            host.endAttempt(request, i, Outcome.ERROR, 5_000);
        }
        long parity = host.callsStartingWith("attempt 1 ").stream()
                .map(a -> a.charAt(a.length() - 1) % 2)
                .distinct()
                .count();
        assertThat(parity).isEqualTo(1);
        assertThat(host.callsStartingWith("abort 1")).hasSize(1);
        assertThat(host.callsStartingWith("reject")).isEmpty();
    }

    @Test
    void aDeduplicatedRequestIsNotRetriedOnceItsWindowHasPassed() {
        setMethod(Method.RetrySafety.DEDUPLICATED, Method.DeduplicationScope.ALL);
        host.start(4);
        Request request = host.receiveWithinQuota();
        host.advance(1_100_000);
        int before = host.callsStartingWith("attempt 1 ").size();
        for (int i = 0; i < before; i++) {
            host.endAttempt(request, i, Outcome.ERROR, 1_100_000);
        }
        host.advance(7_000_000);
        assertThat(host.callsStartingWith("attempt 1 ")).hasSize(before);
    }

    @Test
    void aRetryCarriesTheTimeWithinWhichItHasToBeginHoweverLateItsConnectionIs() {
        setMethod(Method.RetrySafety.DEDUPLICATED, Method.DeduplicationScope.ALL);
        host.start(4);
        Request request = host.receiveWithinQuota();
        host.advance(300_000);
        host.endAttempt(request, 0, Outcome.ERROR, 300_000);
        assertThat(host.callsStartingWith("attempt 1 ")).hasSize(2);
        assertThat(host.beginWithinUs.get(1))
                .as("a window of 1 s from the first attempt")
                .isBetween(600_000L, 700_000L);
    }

    @Test
    void aRequestWhoseClientLeavesDuringItsCounterCallIsNeverForwardedAndItsUnitsGoBack() {
        host.start(3);
        Request request = host.receive();
        request.clientLeft();
        assertThat(request.isFinished()).isTrue();
        host.answerCounter(2);
        host.advance(3_000_000);
        assertThat(host.callsStartingWith("attempt")).isEmpty();
        assertThat(host.callsStartingWith("add")).containsExactly("add 1.0", "add -1.0");
    }

    @Test
    void whereTwoAttemptsAtOnceAreForbiddenTheFirstIsCancelledBeforeAnotherAndOnlyAwayFromAnEjectedBackend() {
        host.hedgingAllowed = false;
        host.start(3);
        Request request = host.receiveWithinQuota();
        host.advance(1_500_000);
        assertThat(host.callsStartingWith("cancel"))
                .as("a long request would be as long at another backend")
                .isEmpty();
        host.endAttempt(request, 0, Outcome.OK, 1_500_000);
        for (int i = 0; i < 6; i++) {
            // Two requests for each backend; the second overdue one ejects a backend.
            host.receiveWithinQuota();
        }
        host.advance(1_500_000);
        assertThat(host.callsStartingWith("cancel")).hasSize(1);
        assertThat(host.callsStartingWith("attempt")).hasSize(7);
    }

    @Test
    void aDrainingBackendGetsNoNewAttempts() {
        host.start(2);
        host.updateEndpoint(1, Endpoint.State.DRAINING, 0);
        for (int i = 0; i < 3; i++) {
            host.endAttempt(host.receiveWithinQuota(), 0, Outcome.OK, 100_000);
        }
        assertThat(host.callsStartingWith("attempt")).hasSize(3).allMatch(a -> a.endsWith("to 2"));
    }

    @Test
    void aBackendInSlowStartGetsOnlyThisGatewaysShareOfWhatItCanTake() {
        host.start(0);
        host.updateEndpoint(1, Endpoint.State.READY, host.clockUs);
        for (int i = 0; i < 20; i++) {
            Request request = host.receiveWithinQuota();
            if (!host.callsStartingWith("attempt " + (i + 1) + " ").isEmpty()) {
                host.endAttempt(request, 0, Outcome.OK, 10_000);
            }
            host.advance(50_000);
        }
        // 0.7 x 2 x one fifth of one core x 1.5 s, over two gateways, is less than the time of one answer (250 ms) in a
        // window.
        assertThat(host.callsStartingWith("attempt")).hasSizeBetween(1, 2);
    }

    @Test
    void aRestartedGatewayKeepsToTheCeilingOfACustomerWithAnUnknownPast() {
        host.plan = new Plan(2, 4, 0, 2.2, 4.4, 0.4);
        host.start(3);
        host.receive();
        // The call created the name; a burst of 0.8 units is all that certainly keeps to the ceiling.
        host.policy.counterAnswered(host.lastCounterName(), Outcome.OK, 1, 1_000);
        assertThat(host.callsStartingWith("reject 1")).hasSize(1);
    }

    @Test
    void openRequestsAreHeldToThisGatewaysShareOfTheConcurrencyLimit() {
        host.plan = new Plan(0, 0, 4, 0, 0, 0);
        host.start(3);
        for (int i = 0; i < 3; i++) {
            host.receive();
        }
        assertThat(host.callsStartingWith("attempt")).hasSize(2);
        assertThat(host.callsStartingWith("reject 3")).hasSize(1);
        assertThat(host.callsStartingWith("add")).isEmpty();
    }

    @Test
    void aStreamThatHasBegunIsLeftToTheClient() {
        host.start(3);
        Request request = host.receiveCounted(2);
        request.streamStarted(0);
        host.advance(7_490_000);
        assertThat(host.callsStartingWith("attempt 1 ")).hasSize(1);
        assertThat(host.callsStartingWith("reject")).isEmpty();
    }

    @Test
    void unusualListsGatewayCountsAndMessagesAreTolerated() {
        host.start(2);
        // An empty list.
        host.policy.endpointsUpdated(0, Endpoint.UpdateKind.COMPLETE, List.of());
        host.receiveWithinQuota();
        host.updateEndpoint(1, Endpoint.State.READY, 0);
        // The same backend is listed twice.
        host.updateEndpoint(1, Endpoint.State.READY, 0);
        host.policy.gossipReceived(new byte[3]);
        assertThat(host.callsStartingWith("attempt 1 ")).hasSize(1);
        // The customer has more gateways than the tier.
        host.policy.requestReceived(50, 0, 12, 0, 1, 1, 9, 7_500_000);
        host.policy.counterAnswered(host.lastCounterName(), Outcome.OK, 1, 1_000);
        assertThat(host.callsStartingWith("attempt 50 ")).hasSize(1);
    }
}
