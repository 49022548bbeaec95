package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against traffic to faulty backends, and against ejecting or limiting backends for faults that are not theirs.
 */
class OutlierEjectionTest {
    private final FakeHost host = new FakeHost();

    @Test
    void aBackendThatAcceptsRequestsAndNeverAnswersIsEjectedAndItsRequestsAreHedgedElsewhere() {
        host.start(3);
        for (int i = 0; i < 30; i++) {
            host.serve(50_000);
        }
        host.advance(10_000);
        host.calls.clear();
        List<Request> stuck = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            stuck.add(host.receiveWithinQuota());
        }
        String hung = host.callsStartingWith("attempt").get(0).replaceAll(".* to ", " to ");
        for (Request request : stuck) {
            if (!host.callsStartingWith("attempt").get(stuck.indexOf(request)).endsWith(hung)) {
                host.endAttempt(request, 0, Outcome.OK, 50_000);
            }
        }
        host.advance(500_000);
        assertThat(host.callsStartingWith("attempt"))
                .as("hedged requests for those that hang")
                .hasSizeGreaterThan(6);
        host.calls.clear();
        for (int i = 0; i < 6; i++) {
            host.serve(50_000);
        }
        assertThat(host.callsStartingWith("attempt")).hasSize(6).noneMatch(a -> a.endsWith(hung));
    }

    @Test
    void fastFailuresLowerTheLimitOfABackendAndTheRequestIsRetriedElsewhere() {
        host.start(3);
        for (int i = 0; i < 12; i++) {
            Request request = host.receiveWithinQuota();
            int last = host.callsStartingWith("attempt " + (i + 1) + " ").size() - 1;
            if (host.callsStartingWith("attempt " + (i + 1) + " ").get(last).endsWith("to 1")) {
                host.endAttempt(request, last, Outcome.ERROR, 1_000);
                last++;
            }
            host.endAttempt(request, last, Outcome.OK, 100_000);
        }
        assertThat(host.callsStartingWith("attempt").stream()
                        .filter(a -> a.endsWith("to 1"))
                        .count())
                .isLessThanOrEqualTo(4);
        assertThat(host.callsStartingWith("reject")).isEmpty();
    }

    @Test
    void unreadableAnswersAreRetriedElsewhereAndCountAgainstNoBackend() {
        host.start(2);
        for (int i = 1; i <= 10; i++) {
            Request request = host.receiveWithinQuota();
            if (host.callsStartingWith("attempt " + i + " ").get(0).endsWith("to 1")) {
                host.endAttempt(request, 0, Outcome.UNREADABLE, 1_000);
                assertThat(host.callsStartingWith("attempt " + i + " ").get(1)).endsWith("to 2");
                host.endAttempt(request, 1, Outcome.OK, 500_000);
            } else {
                host.endAttempt(request, 0, Outcome.OK, 500_000);
            }
            host.advance(100_000);
        }
        assertThat(host.callsStartingWith("attempt").stream()
                        .filter(a -> a.endsWith("to 1"))
                        .count())
                .isGreaterThan(4);
    }

    @Test
    void notAllBackendsAreEverEjected() {
        host.start(2);
        for (int i = 0; i < 20; i++) {
            Request request = host.receiveWithinQuota();
            for (int attempt = 0; attempt < 3; attempt++) {
                host.endAttempt(request, attempt, Outcome.ERROR, 1_000);
            }
            host.advance(100_000);
        }
        host.calls.clear();
        host.receiveWithinQuota();
        assertThat(host.callsStartingWith("attempt")).hasSize(1);
    }

    @Test
    void aBackendThatIsSlowToRejectIsAvoidedForThatPlanAndKeepsItsLimit() {
        host.start(2);
        Request request = host.receiveWithinQuota();
        String first = host.callsStartingWith("attempt 1 ").get(0).replaceAll(".* to ", " to ");
        host.endAttempt(request, 0, Outcome.AT_CAPACITY, 400_000);
        host.endAttempt(request, 1, Outcome.OK, 50_000);
        host.calls.clear();
        for (int i = 0; i < 4; i++) {
            host.receiveWithinQuota();
        }
        assertThat(host.callsStartingWith("attempt")).hasSize(4).noneMatch(a -> a.endsWith(first));
    }

    @Test
    void lateAnswersLowerTheConcurrencyLimitSoThatQueuesDrain() {
        host.start(4);
        List<Request> requests = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            requests.add(host.receiveWithinQuota());
        }
        for (Request request : requests) {
            host.endAttempt(request, 0, Outcome.TIMED_OUT, 1_900_000);
        }
        host.calls.clear();
        for (int i = 0; i < 12; i++) {
            host.receiveWithinQuota();
        }
        assertThat(host.callsStartingWith("attempt"))
                .as("an initial limit of 12, reduced by 0.3 per late answer while half of it is in use")
                .hasSizeBetween(8, 10);
    }
}
