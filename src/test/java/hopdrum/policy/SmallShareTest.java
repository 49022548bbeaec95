package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Outcome;
import org.junit.jupiter.api.Test;

/** Customers with more gateways than requests in their burst: a share holds less than one request. */
class SmallShareTest {
    private final FakeHost host = new FakeHost();

    @Test
    void aShareBelowOneRequestDecidesNothingWhileThePaceLeavesACall() {
        host.gateways = 100;
        host.start(3);
        host.advance(10_000_000);
        host.receiveCounted(2);
        host.policy.requestReceived(499, 0, 499, 0, 1, 0, 100, 7_500_000);
        host.policy.counterAnswered(host.lastCounterName(), Outcome.AT_CAPACITY, 0, 300); // paced from here on
        host.calls.clear();
        for (int i = 0; i < 40; i++) {
            host.advance(2_000_000);
            host.policy.requestReceived(500 + i, 0, 500 + i, 0, 1, 0, 100, 7_500_000);
        }
        assertThat(host.callsStartingWith("add")).hasSize(40);
    }

    /** A hundred gateways, calls paced, the counter answering, and no call to spare. */
    private void crowdHundredGateways() {
        host.gateways = 100;
        host.start(3);
        host.advance(1_000_000);
        host.receiveCounted(2);
        host.policy.requestReceived(499, 0, 499, 0, 1, 0, 100, 7_500_000);
        host.policy.counterAnswered(host.lastCounterName(), Outcome.AT_CAPACITY, 0, 300);
        host.policy.requestReceived(498, 0, 498, 0, 1, 0, 100, 7_500_000); // the one call that the pace leaves
        host.calls.clear();
    }

    @Test
    void aCustomerNotKnownToBeBeyondIsAdmittedWhereNoCallCanBeMadeAndTheCounterAnswers() {
        crowdHundredGateways();
        for (int i = 0; i < 20; i++) {
            host.policy.requestReceived(500 + i, 0, 500 + i, 0, 1, 0, 100, 7_500_000);
        }
        assertThat(host.callsStartingWith("add")).isEmpty();
        assertThat(host.callsStartingWith("reject"))
                .as("but for one of four, soon after a start")
                .hasSizeLessThan(10);
    }

    @Test
    void whatSharesBelowOneRequestAdmittedIsAddedByTheNextCallsForSuchCustomers() {
        crowdHundredGateways();
        for (int i = 0; i < 8; i++) {
            host.policy.requestReceived(500 + i, 0, 500 + i, 0, 1, 0, 100, 7_500_000);
        }
        assertThat(host.callsStartingWith("add")).isEmpty();
        assertThat(host.callsStartingWith("reject")).as("some are admitted").hasSizeLessThan(7);
        host.advance(3_000_000);
        host.policy.requestReceived(600, 0, 600, 0, 1, 0, 100, 7_500_000);
        assertThat(host.callsStartingWith("add")).containsExactly("add 3.0");
    }

    @Test
    void aReaderAddsNothingAheadForSharesBelowOneRequest() {
        crowdHundredGateways();
        host.advance(3_000_000);
        host.policy.requestReceived(600, 0, 600, 0, 1, 0, 100, 7_500_000);
        host.answerCounter(-0.5);
        assertThat(host.callsStartingWith("gossip")).as("its other gateways").hasSize(99);
        assertThat(host.callsStartingWith("add")).containsExactly("add 1.0", "add -1.0");
    }

    @Test
    void anUnknownCustomersFirstRequestIsMostlyAdmittedWhileTheCounterIsSilentThoughItsShareIsSmall() {
        host.gateways = 100;
        host.start(3);
        host.advance(10_000_000);
        for (int i = 0; i < 20; i++) {
            host.policy.requestReceived(i, 0, 500 + i, 0, 1, 0, 100, 7_500_000);
        }
        host.advance(60_000);
        assertThat(host.callsStartingWith("reject")).isEmpty();
    }
}
