package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Endpoint;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Many gateways and one cold backend: what counts there is the sum of what all of them send. */
class SlowStartFleetTest {
    private static final int GATEWAYS = 30;
    private static final long STEP_US = 10_000;
    private static final long WINDOW_US = 1_500_000; // as in FakeHost's settings, like the ramp's figures
    private static final long WARM_AFTER_US = 10_000_000;
    private static final double COLD_FROM = 0.2;
    private static final double FACTOR = 2;
    private static final double WORK_US = 250_000; // what a request takes, by what each gateway knows at its start

    /** A gateway that always has a request waiting; what it sends is answered in the usual time. */
    private static final class Gateway {
        final FakeHost host = new FakeHost();
        private Request waiting;
        private int sent;
        private long answerAtUs;

        Gateway(int ordinal, long clockUs) {
            host.gateways = GATEWAYS;
            host.ordinal = ordinal;
            host.clockUs = clockUs;
            host.plan = new Plan(0, 0, 0, 0, 0, 0);
            host.start(0);
        }

        /** True if it sent a request to the backend in this step. */
        boolean step() {
            if (answerAtUs > 0 && host.clockUs >= answerAtUs) {
                answerAtUs = 0;
                host.endAttempt(waiting, 0, Outcome.OK, (long) WORK_US);
            }
            if (waiting == null || waiting.isFinished()) {
                waiting = host.receive();
            }
            host.advance(STEP_US);
            int before = sent;
            sent = host.callsStartingWith("attempt").size();
            if (sent > before) {
                answerAtUs = host.clockUs + (long) WORK_US;
            }
            return sent > before;
        }
    }

    /** What a backend of one core can take in a window that begins at this age, and what counts as chance. */
    private static double mostAt(long ageUs) {
        double part = COLD_FROM + (1 - COLD_FROM) * Math.min(1, (double) ageUs / WARM_AFTER_US);
        double budget = FACTOR * part * WINDOW_US / WORK_US;
        return budget + 2 * Math.sqrt(budget) + 2;
    }

    /** Told at once or late, when it has been on its ramp for a while; a third of the gateways start anew meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000_000, 3_000_000, 5_000_000, 7_000_000, 8_500_000})
    void theSumOfThirtyGatewaysKeepsWithinASlowStartingBackendsBudget(long toldAtAgeUs) {
        long bornUs = 90_000_000;
        List<Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new Gateway(i, bornUs));
        }
        List<Long> sentAtAge = new ArrayList<>();
        for (long ageUs = 0; ageUs < WARM_AFTER_US - 5 * STEP_US; ageUs += STEP_US) {
            for (int i = 0; i < GATEWAYS; i++) {
                if (i % 3 == 0 && ageUs == Math.max(toldAtAgeUs, 4_000_000) + 1_000_000) { // forgets what it has sent
                    gateways.set(i, new Gateway(i, bornUs + ageUs));
                    gateways.get(i).host.updateEndpoint(1, Endpoint.State.READY, bornUs);
                } else if (ageUs == toldAtAgeUs) {
                    gateways.get(i).host.updateEndpoint(1, Endpoint.State.READY, bornUs);
                }
                if (gateways.get(i).step()) {
                    sentAtAge.add(ageUs);
                }
            }
        }
        assertThat(sentAtAge).as("it is not starved").hasSizeGreaterThan(3);
        for (long fromUs : sentAtAge) {
            long inWindow = sentAtAge.stream()
                    .filter(at -> at >= fromUs && at < fromUs + WINDOW_US)
                    .count();
            assertThat((double) inWindow).as("from age %d", fromUs).isLessThanOrEqualTo(mostAt(fromUs));
        }
    }
}
