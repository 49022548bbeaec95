package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A counter that is crowded, slow or silent: the pace of calls, and what is owed to it. */
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
                .as("admitted by the share of what is known")
                .hasSizeGreaterThan(3);
        assertThat(host.callsStartingWith("add"))
                .as("asked at each, and nothing owed")
                .hasSize(6)
                .allMatch(a -> a.equals("add 1.0"));
    }

    @Test
    void anOverloadedCounterIsCalledAtThePaceItAnswers() {
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
                .as("2 s: a window at full pace, then five trials a second")
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
                int asked = host.counterNames.size();
                host.policy.requestReceived(1000 + 100 * second + i, 0, 1000 + 100 * second + i, 0, 1, 0, 2, 7_500_000);
                if (host.counterNames.size() > asked) {
                    host.policy.counterAnswered(host.lastCounterName(), Outcome.OK, host.totalFor(2), 1_000);
                }
            }
            assertThat(host.callsStartingWith("add").size())
                    .as("asked in second " + second)
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

    /** Calls are paced and few; returns how many requests of one customer were admitted up to its next call, with that one. */
    private int admittedWhilePaced() {
        host.gateways = 3;
        host.plan = new Plan(2, 30, 0, 0, 0, 0);
        host.start(2);
        host.receiveCounted(20);
        for (int i = 0; i < 40; i++) { // another customer's calls are rejected but for the last: calls become few
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
        assertThat(admitted).as("some without a call").isGreaterThan(1);
        return admitted;
    }

    @Test
    void whatABucketAdmittedWhileCallsArePacedIsAddedByItsOwnCustomersNextCall() {
        int admitted = admittedWhilePaced();
        assertThat(host.callsStartingWith("add"))
                .as("all of them, and no other's")
                .isEqualTo(List.of("add " + (double) admitted));
    }

    @Test
    void whatBucketsAdmittedBeyondAQuotaIsNoDebtOfItsCount() {
        int admitted = admittedWhilePaced();
        host.answerCounter(-admitted); // others have used all that the store held: none of these took anything from it
        assertThat(host.callsStartingWith("add"))
                .containsExactly("add " + (double) admitted, "add " + (double) -admitted);
        host.advance(600_000);
        host.calls.clear();
        host.receive();
        assertThat(host.callsStartingWith("reject"))
                .as("a refill of 2 a second has made room")
                .isEmpty();
    }

    @Test
    void thePaceOfCallsRisesAgainWhereTheRoundTripToTheCounterIsLong() {
        host.gateways = 8;
        host.start(3);
        for (int i = 0; i < 20; i++) {
            host.policy.requestReceived(i, 0, 500 + i, 0, 1, 0, 8, 7_500_000);
            host.policy.counterAnswered(
                    host.lastCounterName(), Outcome.AT_CAPACITY, 0, 20_000); // paced, to the least pace
            host.advance(60_000);
        }
        for (int second = 0; second < 10; second++) {
            host.calls.clear();
            for (int i = 0; i < 100; i++) {
                int calls = host.counterNames.size();
                host.policy.requestReceived(100 * second + i, 0, 1_000 + 100 * second + i, 0, 1, 0, 8, 7_500_000);
                if (host.counterNames.size() > calls) {
                    host.policy.counterAnswered(
                            host.lastCounterName(), Outcome.OK, host.totalFor(3), 20_000); // as long as each takes
                }
                host.advance(10_000);
            }
        }
        assertThat(host.callsStartingWith("add").size())
                .as("asked in the last second, 7 or 8 at first")
                .isGreaterThan(30);
    }

    @Test
    void afterAnOutageAGatewayOwesOnlyWhatItsBucketLacks() {
        host.start(3);
        host.advance(10_000_000);
        host.receiveCounted(4);
        for (int i = 0; i < 20; i++) { // ten seconds without an answer, one unit admitted each second
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
