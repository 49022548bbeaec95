package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Outcome;
import org.junit.jupiter.api.Test;

/** Names on the counter: who trims the excess of a new one, and what a lost one restores. */
class CounterNameTest {
    private final FakeHost host = new FakeHost();

    @Test
    void theExcessOfANewNameIsLeftToItsMakerUnlessItPersists() {
        host.start(3);
        host.receive();
        host.policy.counterAnswered(
                host.lastCounterName(), Outcome.OK, 2, 1_000); // another gateway's unit is in it: that one made it
        assertThat(host.callsStartingWith("add")).containsExactly("add 1.0");
        host.advance(301_000);
        host.receive();
        host.policy.counterAnswered(host.lastCounterName(), Outcome.OK, 3, 1_000);
        assertThat(host.callsStartingWith("add"))
                .as("its maker is gone, or its add was lost")
                .hasSize(3);
        assertThat(host.totalFor(0)
                        - 3
                        - Double.parseDouble(
                                host.callsStartingWith("add").get(2).substring(4)))
                .as("trimmed to a full burst, less its unit")
                .isBetween(2.9, 3.1);
    }

    @Test
    void theCallThatMakesANameRestoresWhatThisGatewayRemembers() {
        host.start(3);
        host.receiveCounted(1);
        host.calls.clear();
        host.receive();
        host.policy.counterAnswered(
                host.lastCounterName(), Outcome.OK, 1, 1_000); // emptied: the total is this call's own
        assertThat(host.callsStartingWith("attempt")).hasSize(1);
        double restored =
                Double.parseDouble(host.callsStartingWith("add").get(1).substring(4));
        assertThat(host.totalFor(0) - 1 - restored)
                .as("no fresh burst: nothing is left")
                .isBetween(-0.1, 0.1);
    }

    @Test
    void theGatewayWhoseExcessCameSecondTakesItBack() {
        host.start(3);
        host.receiveCounted(20);
        double excess = Double.parseDouble(host.callsStartingWith("add").get(1).substring(4));
        host.answerCounter(20 - 2 * excess); // another gateway had added the same
        assertThat(host.callsStartingWith("add").get(2)).isEqualTo("add " + -excess);
    }

    @Test
    void anExcessThatTheCounterRejectedIsNotOwedLater() {
        host.start(3);
        host.receiveCounted(20);
        host.policy.counterAnswered(
                host.lastCounterName(), Outcome.AT_CAPACITY, 0, 300); // another gateway will see it and add it
        host.calls.clear();
        for (int i = 0; i < 3; i++) {
            host.receive();
        }
        assertThat(Double.parseDouble(host.callsStartingWith("add").get(0).substring(4)))
                .isBetween(1.0, 3.0);
    }
}
