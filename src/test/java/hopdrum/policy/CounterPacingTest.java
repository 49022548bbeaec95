package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls that overload a counter further while it is overloaded, slow or silent, and against units that
 * are owed to it although the quota has refilled.
 */
class CounterPacingTest {
    private final FakeHost host = new FakeHost();

    @Test
    void anUnreadableTotalWasAddedAndDoesNotStartPacing() {
        host.start(2);
        host.receiveCounted(1);
        for (int i = 0; i < 5; i++) {
            host.advance(1_000_000);
            host.receive();
            host.policy.counterAnswered(host.lastCounterName(), Outcome.UNREADABLE, 0, 1_000);
        }
        assertThat(host.callsStartingWith("attempt"))
                .as("admitted by this gateway's share of the known credit")
                .hasSizeGreaterThan(3);
        assertThat(host.callsStartingWith("add"))
                .as("one call per request, and no units owed")
                .hasSize(6)
                .allMatch(a -> a.equals("add 1.0"));
    }

    @Test
    void anOverloadedCounterIsCalledAtTheRateAtWhichItAnswers() {
        host.start(3);
        int calls = 0;
        for (int i = 0; i < 500; i++) {
            int before = host.callsStartingWith("add").size();
            host.policy.requestReceived(1000 + i, 0, 100 + i, 0, 1, 0, 2, 7_500_000);
            if (host.callsStartingWith("add").size() > before) {
                calls++;
                host.policy.counterAnswered(host.lastCounterName(), Outcome.AT_CAPACITY, 0, 300);
            }
            host.advance(4_000);
        }
        assertThat(calls)
                .as("in 2 s: a window without a rate limit, then five calls per second")
                .isBetween(20, 80);
    }

    @Test
    void callsLostTogetherAreOneLossAndPacingEndsOnceTheCounterAnswersAll() {
        host.start(2);
        for (int i = 0; i < 20; i++) {
            host.policy.requestReceived(100 + i, 0, 100 + i, 0, 1, 0, 2, 7_500_000);
        }
        for (long name : List.copyOf(host.counterNames)) {
            host.policy.counterAnswered(name, Outcome.TIMED_OUT, 0, 50_000);
        }
        for (int second = 0; second < 8; second++) {
            host.calls.clear();
            for (int i = 0; i < 100; i++) {
                host.advance(10_000);
                int callsBefore = host.counterNames.size();
                host.policy.requestReceived(1000 + 100 * second + i, 0, 1000 + 100 * second + i, 0, 1, 0, 2, 7_500_000);
                if (host.counterNames.size() > callsBefore) {
                    host.policy.counterAnswered(host.lastCounterName(), Outcome.OK, host.totalFor(2), 1_000);
                }
            }
            assertThat(host.callsStartingWith("add").size())
                    .as("calls in second " + second)
                    .isGreaterThan(90);
        }
    }

    @Test
    void aBrokenConnectionWhileTheCounterAnswersDoesNotStartPacing() {
        host.start(2);
        for (int i = 0; i < 20; i++) {
            host.receiveCounted(2);
            host.policy.requestReceived(100 + i, 0, 100 + i, 0, 1, 0, 2, 7_500_000);
            host.policy.counterAnswered(host.lastCounterName(), Outcome.CONNECT_FAILED, 0, 1_000);
            host.advance(10_000);
        }
        host.calls.clear();
        for (int i = 0; i < 20; i++) {
            host.policy.requestReceived(200 + i, 0, 200 + i, 0, 1, 0, 2, 7_500_000);
        }
        assertThat(host.callsStartingWith("add")).hasSize(20);
    }

    /**
     * Paces the calls down to a few. Returns how many requests of one customer were admitted up to its next call,
     * including the request of that call.
     */
    private int admittedWhilePaced() {
        host.gateways = 3;
        host.plan = new Plan(2, 30, 0, 0, 0, 0);
        host.start(2);
        host.receiveCounted(20);
        // The calls of another customer are rejected except for the last, so that few calls are allowed.
        for (int i = 0; i < 40; i++) {
            host.policy.requestReceived(100 + i, 0, 12, 0, 1, 0, 3, 7_500_000);
            host.policy.counterAnswered(host.lastCounterName(), i < 39 ? Outcome.AT_CAPACITY : Outcome.OK, 10, 1_000);
            host.advance(60_000);
        }
        host.calls.clear();
        int admitted = 0;
        while (host.callsStartingWith("add").isEmpty() && admitted < 50) {
            host.receive();
            admitted++;
        }
        assertThat(admitted).as("some requests are admitted without a call").isGreaterThan(1);
        return admitted;
    }

    @Test
    void unitsThatABucketAdmittedWhileCallsArePacedAreAddedByTheNextCallForTheSameCustomer() {
        int admitted = admittedWhilePaced();
        assertThat(host.callsStartingWith("add"))
                .as("the units of all admitted requests, and of no other customer")
                .isEqualTo(List.of("add " + (double) admitted));
    }

    @Test
    void unitsThatBucketsAdmittedBeyondAQuotaAreNotOwedToTheCounter() {
        int admitted = admittedWhilePaced();
        // Other gateways have used up the quota, so none of these requests took units from it.
        host.answerCounter(-admitted);
        assertThat(host.callsStartingWith("add"))
                .containsExactly("add " + (double) admitted, "add " + (double) -admitted);
        host.advance(600_000);
        host.calls.clear();
        host.receive();
        assertThat(host.callsStartingWith("reject"))
                .as("a refill of 2 units per second has made room")
                .isEmpty();
    }

    @Test
    void theRateLimitOnCallsRisesAgainWhereTheRoundTripToTheCounterIsLong() {
        host.gateways = 8;
        host.start(3);
        for (int i = 0; i < 20; i++) {
            host.policy.requestReceived(i, 0, 500 + i, 0, 1, 0, 8, 7_500_000);
            // Lowers the rate limit to its minimum.
            host.policy.counterAnswered(host.lastCounterName(), Outcome.AT_CAPACITY, 0, 20_000);
            host.advance(60_000);
        }
        for (int second = 0; second < 10; second++) {
            host.calls.clear();
            for (int i = 0; i < 100; i++) {
                int calls = host.counterNames.size();
                host.policy.requestReceived(100 * second + i, 0, 1_000 + 100 * second + i, 0, 1, 0, 8, 7_500_000);
                if (host.counterNames.size() > calls) {
                    // Each answer takes the full round trip.
                    host.policy.counterAnswered(host.lastCounterName(), Outcome.OK, host.totalFor(3), 20_000);
                }
                host.advance(10_000);
            }
        }
        assertThat(host.callsStartingWith("add").size())
                .as("calls in the last second; 7 or 8 in the first")
                .isGreaterThan(30);
    }

    @Test
    void afterAnOutageAGatewayOwesOnlyWhatItsBucketLacks() {
        host.start(3);
        host.advance(10_000_000);
        host.receiveCounted(4);
        // Ten seconds without an answer, in which one unit per second is admitted.
        for (int i = 0; i < 20; i++) {
            host.receive();
            host.advance(500_000);
        }
        host.answerCounter(4);
        host.calls.clear();
        host.receive();
        assertThat(Double.parseDouble(host.callsStartingWith("add").get(0).substring(4)))
                .isLessThanOrEqualTo(3);
    }
}
