package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Outcome;
import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/**
 * Guards the counter against calls for customers that another gateway has found beyond their quota, and customers
 * against false gossip.
 */
class CreditGossipTest {
    private final FakeHost host = new FakeHost();

    @Test
    void aReadingBeyondQuotaWhileCallsArePacedIsGossipedToTheCustomersOtherGateways() {
        host.gateways = 3;
        host.start(3);
        host.advance(10_000_000);
        host.receiveCounted(2);
        host.receive();
        // A lost call; calls are paced from here on.
        host.policy.counterAnswered(host.lastCounterName(), Outcome.AT_CAPACITY, 0, 300);
        while (host.callsStartingWith("gossip").isEmpty() && host.clockUs < 200_000_000) {
            int calls = host.callsStartingWith("add").size();
            host.receive();
            if (host.callsStartingWith("add").size() > calls) {
                host.answerCounter(-0.5);
            }
            host.advance(100_000);
        }
        assertThat(host.callsStartingWith("gossip"))
                .as("the customer's gateways are 0 and 1, and this one is 0")
                .containsExactly("gossip 1");
    }

    private static byte[] gossip(long customer, float remainingUnits) {
        return ByteBuffer.allocate(9)
                .put((byte) (customer >> 32))
                .putInt((int) customer)
                .putFloat(remainingUnits)
                .array();
    }

    @Test
    void aCustomerGossipedToHaveNoCreditIsRejectedWithoutCallsUntilItsRefill() {
        host.start(3);
        host.policy.gossipReceived(gossip(11, -1));
        for (int i = 0; i < 10; i++) {
            host.receive();
        }
        assertThat(host.callsStartingWith("add")).isEmpty();
        assertThat(host.callsStartingWith("reject"))
                .hasSize(10)
                .first()
                .asString()
                .endsWith(" for 1000000");
        // At 2 units per second, a credit of -1 has become 1.
        host.advance(1_000_000);
        host.receiveCounted(0);
        assertThat(host.callsStartingWith("add")).hasSize(1);
        assertThat(host.callsStartingWith("attempt"))
                .as("no bucket share holds the request back any longer")
                .hasSize(1);
    }

    @Test
    void gossipAboutACustomerNotServedHereYetAppliesToItsFirstRequest() {
        host.gateways = 100;
        host.start(3);
        long customer = (1L << 33) - 2;
        host.policy.gossipReceived(gossip(customer, 0.5f));
        host.policy.requestReceived(1, 0, customer, 0, 1, 0, 100, 7_500_000);
        assertThat(host.callsStartingWith("reject")).hasSize(1);
        assertThat(host.callsStartingWith("add")).isEmpty();
    }

    @Test
    void falseGossipRejectsNobodyForLongerThanTwoBurstsTakeToRefill() {
        host.start(3);
        host.policy.gossipReceived(gossip(11, Float.NaN));
        host.policy.gossipReceived(gossip(11, Float.NEGATIVE_INFINITY));
        host.receiveWithinQuota();
        assertThat(host.callsStartingWith("attempt"))
                .as("a value that is not a finite number is ignored")
                .hasSize(1);
        host.policy.gossipReceived(gossip(11, -1e30f));
        host.advance(4_000_000);
        host.receiveWithinQuota();
        assertThat(host.callsStartingWith("attempt")).hasSize(2);
    }

    @Test
    void gossipOfMoreCreditThanIsKnownHereIsIgnored() {
        host.start(3);
        host.receiveCounted(-3);
        host.policy.gossipReceived(gossip(11, 0.9f));
        host.calls.clear();
        host.advance(500_000);
        host.receive();
        assertThat(host.callsStartingWith("add")).isEmpty();
    }
}
