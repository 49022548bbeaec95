package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.CustomerOwner;
import hopdrum.host.Endpoint;
import hopdrum.host.Method;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests of a partner's customers being counted or run twice, or counted in the wrong tier. Backends 1
 * and 2 belong to this tier; front doors 11 and 12 belong to a partner.
 */
class PartnerForwardingTest {
    private final FakeHost host = new FakeHost();

    @BeforeEach
    void start() {
        host.start(2);
        host.policy.endpointsUpdated(
                2,
                Endpoint.UpdateKind.COMPLETE,
                List.of(
                        new Endpoint(11, 0, 0, 0, Endpoint.State.READY, 1, 0),
                        new Endpoint(12, 0, 0, 0, Endpoint.State.READY, 1, 0)));
        host.owner = CustomerOwner.partner(2);
    }

    private String lastAttempt() {
        List<String> all = host.callsStartingWith("attempt");
        return all.get(all.size() - 1);
    }

    @Test
    void aPartnersCustomerIsForwardedAndCountedThereAlone() {
        Request request = host.receive();
        assertThat(lastAttempt()).matches("attempt 1 to 1[12]");
        assertThat(host.callsStartingWith("add")).isEmpty();
        host.endAttempt(request, 0, Outcome.OK, 5_000);
        assertThat(request.isFinished()).isTrue();
        host.owner = CustomerOwner.THIS_TIER;
        Request own = host.receiveWithinQuota();
        assertThat(lastAttempt()).matches("attempt 2 to [12]");
        host.endAttempt(own, 0, Outcome.OK, 5_000);
    }

    @Test
    void aRequestThatMayHaveRunAtAPartnerIsNotRetriedSinceItWouldBeCountedTwice() {
        Request request = host.receive();
        host.endAttempt(request, 0, Outcome.RESET, 5_000);
        assertThat(host.callsStartingWith("attempt")).hasSize(1);
        // The method is idempotent, so the client may retry.
        assertThat(host.callsStartingWith("reject")).hasSize(1);
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunAtAPartnerIsAborted() {
        host.method = new Method(
                2_000_000, 7_500_000, Method.RetrySafety.NON_IDEMPOTENT, Method.DeduplicationScope.ALL, 0, 0, false);
        start();
        Request request = host.receive();
        host.endAttempt(request, 0, Outcome.RESET, 5_000);
        assertThat(host.callsStartingWith("abort")).hasSize(1);
    }

    @Test
    void aRequestThatNeverReachedAPartnersFrontDoorGoesToAnother() {
        Request request = host.receive();
        String first = lastAttempt();
        host.endAttempt(request, 0, Outcome.CONNECT_FAILED, 1_000);
        assertThat(lastAttempt()).matches("attempt 1 to 1[12]").isNotEqualTo(first);
    }

    @Test
    void aPartnersRejectionIsFinal() {
        Request request = host.receive();
        // The client already has the answer.
        request.attemptEnded(0, Outcome.INVALID_REQUEST, 5_000, true, 0, FakeHost.NO_REPORT);
        assertThat(request.isFinished()).isTrue();
        assertThat(host.callsStartingWith("reject")).isEmpty();
        assertThat(host.callsStartingWith("attempt")).hasSize(1);
    }

    @Test
    void aCustomerWhoseOwnerIsUnknownIsRejectedWithARetryAfter() {
        host.owner = CustomerOwner.unknown(300_000);
        Request request = host.receive();
        assertThat(request.isFinished()).isTrue();
        assertThat(host.callsStartingWith("reject")).containsExactly("reject 1 for 300000");
        assertThat(host.callsStartingWith("add")).isEmpty();
        assertThat(host.callsStartingWith("attempt")).isEmpty();
    }

    @Test
    void aCustomerUnderACeilingBeginsAtItsNewOwnerWithWhatHasRefilledSinceTheMove() {
        host.plan = new Plan(2, 4, 0, 4, 8, 0);
        // Refills one unit.
        host.ownershipAgeUs = 500_000;
        host.start(2);
        host.owner = CustomerOwner.THIS_TIER;
        Request request = host.receive();
        // The call created the name: the total contains only its own unit.
        host.policy.counterAnswered(host.lastCounterName(), Outcome.OK, 1, 1_000);
        assertThat(host.callsStartingWith("attempt")).hasSize(1);
        double trimmed = Double.parseDouble(host.callsStartingWith("add").get(1).substring(4));
        assertThat(host.totalFor(0) - 1 - trimmed)
                .as("units left after the request")
                .isBetween(-0.01, 0.01);
        host.endAttempt(request, 0, Outcome.OK, 5_000);
    }

    @Test
    void aPartnerWithoutCapacityHoldsUpNoRequestOfThisTier() {
        for (int i = 0; i < 20; i++) {
            host.receive();
        }
        int forwarded = host.callsStartingWith("attempt").size();
        assertThat(forwarded).isLessThan(20);
        host.owner = CustomerOwner.THIS_TIER;
        host.receiveWithinQuota();
        assertThat(lastAttempt()).matches("attempt 21 to [12]");
    }
}
