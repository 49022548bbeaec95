package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Guards against a new name's excess being trimmed by several gateways, which would leave a debt, and against a fresh
 * burst for a customer whose name the counter has lost.
 */
class CounterNameTest {
    private final FakeHost host = new FakeHost();

    @Test
    void theExcessOfANewNameIsLeftToItsCreatorUnlessItPersists() {
        host.start(3);
        host.receive();
        // Another gateway's unit is in the total, so that gateway created the name.
        host.policy.counterAnswered(host.lastCounterName(), Outcome.OK, 2, 1_000);
        assertThat(host.callsStartingWith("add")).containsExactly("add 1.0");
        host.advance(301_000);
        host.receive();
        host.policy.counterAnswered(host.lastCounterName(), Outcome.OK, 3, 1_000);
        assertThat(host.callsStartingWith("add"))
                .as("its creator is gone, or the trim was lost")
                .hasSize(3);
        assertThat(host.totalFor(0)
                        - 3
                        - Double.parseDouble(
                                host.callsStartingWith("add").get(2).substring(4)))
                .as("trimmed to a full burst, less the unit of this request")
                .isBetween(2.9, 3.1);
    }

    @Test
    void theCallThatCreatesANameRestoresTheSpentUnitsThisGatewayRemembers() {
        host.start(3);
        host.receiveCounted(1);
        host.calls.clear();
        host.receive();
        // The counter lost its data: the total is this call's own units.
        host.policy.counterAnswered(host.lastCounterName(), Outcome.OK, 1, 1_000);
        assertThat(host.callsStartingWith("attempt")).hasSize(1);
        double restored =
                Double.parseDouble(host.callsStartingWith("add").get(1).substring(4));
        assertThat(host.totalFor(0) - 1 - restored)
                .as("no fresh burst: no units remain")
                .isBetween(-0.1, 0.1);
    }

    @Test
    void theGatewayWhoseTrimCameSecondTakesItBack() {
        host.start(3);
        host.receiveCounted(20);
        double excess = Double.parseDouble(host.callsStartingWith("add").get(1).substring(4));
        // Another gateway trimmed the same excess.
        host.answerCounter(20 - 2 * excess);
        assertThat(host.callsStartingWith("add").get(2)).isEqualTo("add " + -excess);
    }

    @Test
    void anExcessThatTheCounterRejectedIsNotOwedLater() {
        host.start(3);
        host.receiveCounted(20);
        // Another gateway will see the excess and trim it.
        host.policy.counterAnswered(host.lastCounterName(), Outcome.AT_CAPACITY, 0, 300);
        host.calls.clear();
        for (int i = 0; i < 3; i++) {
            host.receive();
        }
        assertThat(Double.parseDouble(host.callsStartingWith("add").get(0).substring(4)))
                .isBetween(1.0, 3.0);
    }
}
