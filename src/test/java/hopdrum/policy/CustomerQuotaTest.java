package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are admitted beyond a customer's quota, and against units that are charged for rejected
 * ones.
 */
class CustomerQuotaTest {
    private final FakeHost host = new FakeHost().start(3);

    @Test
    void aRequestWithinQuotaIsCountedThenForwarded() {
        host.receive();
        assertThat(host.calls).containsExactly("add 1.0");
        host.answerCounter(2);
        assertThat(host.callsStartingWith("attempt 1 ")).hasSize(1);
    }

    @Test
    void aRequestBeyondQuotaGivesItsUnitsBackAndIsRejectedWithARetryAfter() {
        host.receiveCounted(-5);
        assertThat(host.calls)
                .startsWith("add 1.0", "add -1.0")
                .last()
                .asString()
                .startsWith("reject 1 for ");
        assertThat(host.callsStartingWith("reject").get(0)).doesNotEndWith(" for 0");
        host.calls.clear();
        host.receive();
        assertThat(host.calls)
                .as("the last reading still applies: no call is needed")
                .hasSize(1)
                .first()
                .asString()
                .startsWith("reject 2");
    }

    @Test
    void whileTheCounterIsSilentTheSplitBucketDecides() {
        host.advance(10_000_000);
        host.receive();
        host.receive();
        host.receive();
        host.advance(20_000);
        assertThat(host.callsStartingWith("attempt"))
                .as("a burst of 4 over 2 gateways")
                .hasSize(2);
        assertThat(host.callsStartingWith("reject 3")).hasSize(1);
    }

    @Test
    void aCallAnsweredLateWasAddedAndIsSettledOnTheSameName() {
        for (int i = 0; i < 3; i++) {
            host.receive();
        }
        host.advance(20_000);
        host.calls.clear();
        long name = host.counterNames.get(0);
        for (int i = 1; i <= 3; i++) {
            host.policy.counterAnswered(name, Outcome.OK, host.totalFor(-i), 30_000);
        }
        assertThat(host.callsStartingWith("add -1.0"))
                .as("only the units of requests that were not admitted are returned")
                .isNotEmpty();
        assertThat(host.counterNames).containsOnly(name);
    }

    @Test
    void rejectedClientsAreGivenDifferentRetryAfterTimes() {
        host.receiveCounted(-0.2);
        host.receive();
        host.receive();
        assertThat(host.callsStartingWith("reject").stream()
                        .map(a -> a.replaceAll(".* for ", ""))
                        .distinct())
                .hasSize(3);
    }

    @Test
    void requestsBeyondTheKnownCreditAwaitTheCallsInFlight() {
        host.receiveCounted(1.5);
        host.calls.clear();
        for (int i = 0; i < 5; i++) {
            host.receive();
        }
        assertThat(host.callsStartingWith("add"))
                .as("one call for the credit of 1.5; the other requests wait")
                .hasSize(1);
        host.answerCounter(-0.5);
        assertThat(host.callsStartingWith("reject")).hasSize(5);
    }
}
