package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Guards customers with more gateways than requests in their burst, where a gateway's share holds less than one
 * request, against being rejected or admitted without a count.
 */
class SmallShareTest {
    private final FakeHost host = new FakeHost();

    @Test
    void aShareBelowOneRequestDecidesNothingWhileACallMayBeMade() {
        host.gateways = 100;
        host.start(3);
        host.advance(10_000_000);
        host.receiveCounted(2);
        host.policy.requestReceived(499, 0, 499, 0, 1, 0, 100, 7_500_000);
        // Calls are paced from here on.
        host.policy.counterAnswered(host.lastCounterName(), Outcome.AT_CAPACITY, 0, 300);
        host.calls.clear();
        for (int i = 0; i < 40; i++) {
            host.advance(2_000_000);
            host.policy.requestReceived(500 + i, 0, 500 + i, 0, 1, 0, 100, 7_500_000);
        }
        assertThat(host.callsStartingWith("add")).hasSize(40);
    }

    /**
     * Starts a tier of a hundred gateways with calls paced, a counter that answers, and no call left to this gateway.
     */
    private void startHundredPacedGateways() {
        host.gateways = 100;
        host.start(3);
        host.advance(1_000_000);
        host.receiveCounted(2);
        host.policy.requestReceived(499, 0, 499, 0, 1, 0, 100, 7_500_000);
        host.policy.counterAnswered(host.lastCounterName(), Outcome.AT_CAPACITY, 0, 300);
        // The one call that the rate limit leaves.
        host.policy.requestReceived(498, 0, 498, 0, 1, 0, 100, 7_500_000);
        host.calls.clear();
    }

    @Test
    void aCustomerNotKnownToBeBeyondItsQuotaIsAdmittedWhereNoCallCanBeMadeAndTheCounterAnswers() {
        startHundredPacedGateways();
        for (int i = 0; i < 20; i++) {
            host.policy.requestReceived(500 + i, 0, 500 + i, 0, 1, 0, 100, 7_500_000);
        }
        assertThat(host.callsStartingWith("add")).isEmpty();
        assertThat(host.callsStartingWith("reject"))
                .as("all are admitted except about one in four, soon after a start")
                .hasSizeLessThan(10);
    }

    @Test
    void unitsAdmittedBySharesBelowOneRequestAreAddedByTheNextCallsForSuchCustomers() {
        startHundredPacedGateways();
        for (int i = 0; i < 8; i++) {
            host.policy.requestReceived(500 + i, 0, 500 + i, 0, 1, 0, 100, 7_500_000);
        }
        assertThat(host.callsStartingWith("add")).isEmpty();
        assertThat(host.callsStartingWith("reject"))
                .as("some requests are admitted")
                .hasSizeLessThan(7);
        host.advance(3_000_000);
        host.policy.requestReceived(600, 0, 600, 0, 1, 0, 100, 7_500_000);
        assertThat(host.callsStartingWith("add")).containsExactly("add 3.0");
    }

    @Test
    void aReadingAddsNoUnitsInAdvanceForSharesBelowOneRequest() {
        startHundredPacedGateways();
        host.advance(3_000_000);
        host.policy.requestReceived(600, 0, 600, 0, 1, 0, 100, 7_500_000);
        host.answerCounter(-0.5);
        assertThat(host.callsStartingWith("gossip"))
                .as("sent to the customer's other gateways")
                .hasSize(99);
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
