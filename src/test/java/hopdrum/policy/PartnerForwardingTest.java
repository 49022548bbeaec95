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

/** What becomes of RPCs whose customers are another's: backends 1 and 2 are this tier's, doors 11 and 12 a partner's. */
class PartnerForwardingTest {
    private final FakeHost door = new FakeHost();

    @BeforeEach
    void start() {
        door.start(2);
        door.policy.endpointsUpdated(
                2,
                Endpoint.UpdateKind.COMPLETE,
                List.of(
                        new Endpoint(11, 0, 0, 0, Endpoint.State.READY, 1, 0),
                        new Endpoint(12, 0, 0, 0, Endpoint.State.READY, 1, 0)));
        door.owner = CustomerOwner.partner(2);
    }

    private String lastAttempt() {
        List<String> all = door.heard("attempt");
        return all.get(all.size() - 1);
    }

    @Test
    void aPartnersCustomerIsPassedOnAndCountedThereAlone() {
        Request rpc = door.take();
        assertThat(lastAttempt()).matches("attempt 1 to 1[12]");
        assertThat(door.heard("add")).isEmpty();
        door.end(rpc, 0, Outcome.OK, 5_000);
        assertThat(rpc.isFinished()).isTrue();
        door.owner = CustomerOwner.THIS_TIER;
        Request own = door.takeInQuota();
        assertThat(lastAttempt()).matches("attempt 2 to [12]");
        door.end(own, 0, Outcome.OK, 5_000);
    }

    @Test
    void whatMayHaveRunAtAPartnerIsNotSentAgainSinceItWouldBeCountedTwice() {
        Request rpc = door.take();
        door.end(rpc, 0, Outcome.RESET, 5_000);
        assertThat(door.heard("attempt")).hasSize(1);
        assertThat(door.heard("refuse")).hasSize(1); // idempotent: the client may ask again
    }

    @Test
    void whatMayHaveRunAtAPartnerAndMayNotRunTwiceIsAborted() {
        door.method = new Method(
                2_000_000, 7_500_000, Method.RetrySafety.NON_IDEMPOTENT, Method.DeduplicationScope.ALL, 0, 0, false);
        start();
        Request rpc = door.take();
        door.end(rpc, 0, Outcome.RESET, 5_000);
        assertThat(door.heard("abort")).hasSize(1);
    }

    @Test
    void whatSurelyNeverReachedAPartnersDoorGoesToItsOther() {
        Request rpc = door.take();
        String first = lastAttempt();
        door.end(rpc, 0, Outcome.CONNECT_FAILED, 1_000);
        assertThat(lastAttempt()).matches("attempt 1 to 1[12]").isNotEqualTo(first);
    }

    @Test
    void aPartnersRefusalIsTheEndOfIt() {
        Request rpc = door.take();
        rpc.attemptEnded(0, Outcome.INVALID_REQUEST, 5_000, true, 0, FakeHost.NO_REPORT); // the client has it already
        assertThat(rpc.isFinished()).isTrue();
        assertThat(door.heard("refuse")).isEmpty();
        assertThat(door.heard("attempt")).hasSize(1);
    }

    @Test
    void aCustomerWhoseOwnerNobodyKnowsIsRefusedWithATimeAndNothingIsGuessed() {
        door.owner = CustomerOwner.unknown(300_000);
        Request rpc = door.take();
        assertThat(rpc.isFinished()).isTrue();
        assertThat(door.heard("refuse")).containsExactly("refuse 1 for 300000");
        assertThat(door.heard("add")).isEmpty();
        assertThat(door.heard("attempt")).isEmpty();
    }

    @Test
    void aCustomerUnderACeilingBeginsAtItsNewOwnerWithWhatHasRefilledSinceTheMove() {
        door.plan = new Plan(2, 4, 0, 4, 8, 0);
        door.ownedForUs = 500_000; // one unit
        door.start(2);
        door.owner = CustomerOwner.THIS_TIER;
        Request rpc = door.take();
        door.policy.counterAnswered(
                door.lastName(), Outcome.OK, 1, 1_000); // it made the name: only its own unit is there
        assertThat(door.heard("attempt")).hasSize(1);
        double trimmed = Double.parseDouble(door.heard("add").get(1).substring(4));
        assertThat(door.totalFor(0) - 1 - trimmed).as("room left after it").isBetween(-0.01, 0.01);
        door.end(rpc, 0, Outcome.OK, 5_000);
    }

    @Test
    void aPartnerWithoutPlacesHoldsUpNoRpcOfThisTier() {
        for (int i = 0; i < 20; i++) {
            door.take();
        }
        int passedOn = door.heard("attempt").size();
        assertThat(passedOn).isLessThan(20);
        door.owner = CustomerOwner.THIS_TIER;
        door.takeInQuota();
        assertThat(lastAttempt()).matches("attempt 21 to [12]");
    }
}
