package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Endpoint;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against overloading a starting backend: each of many gateways sends little, but the backend has to run the sum
 * of what all of them send.
 */
class SlowStartFleetTest {
    private static final int GATEWAYS = 30;
    private static final long STEP_US = 10_000;
    // As in the settings of FakeHost, like the constants of the slow start below.
    private static final long WINDOW_US = 1_500_000;
    private static final long SLOW_START_US = 10_000_000;
    private static final double INITIAL_FRACTION = 0.2;
    private static final double OVERLOAD_FACTOR = 2;
    // The work of a request, as each gateway estimates it at its start.
    private static final double WORK_US = 250_000;

    /** A gateway that always has a request waiting; each attempt is answered in the usual time. */
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

        /** Runs one step; returns true if the gateway sent an attempt to the backend in it. */
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

    /**
     * Returns the most attempts that a backend of one core can take in a window that begins at the given age, plus an
     * allowance for random variation.
     */
    private static double maxAttemptsFrom(long ageUs) {
        double fraction = INITIAL_FRACTION + (1 - INITIAL_FRACTION) * Math.min(1, (double) ageUs / SLOW_START_US);
        double budget = OVERLOAD_FACTOR * fraction * WINDOW_US / WORK_US;
        return budget + 2 * Math.sqrt(budget) + 2;
    }

    /**
     * The gateways learn of the backend at once, or late, during its slow start; meanwhile a third of the gateways
     * restart.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000_000, 3_000_000, 5_000_000, 7_000_000, 8_500_000})
    void theSumOfThirtyGatewaysKeepsWithinASlowStartingBackendsBudget(long listedAtAgeUs) {
        long startedAtUs = 90_000_000;
        List<Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new Gateway(i, startedAtUs));
        }
        List<Long> sentAtAge = new ArrayList<>();
        for (long ageUs = 0; ageUs < SLOW_START_US - 5 * STEP_US; ageUs += STEP_US) {
            for (int i = 0; i < GATEWAYS; i++) {
                // A restarted gateway has no memory of the attempts that it sent.
                if (i % 3 == 0 && ageUs == Math.max(listedAtAgeUs, 4_000_000) + 1_000_000) {
                    gateways.set(i, new Gateway(i, startedAtUs + ageUs));
                    gateways.get(i).host.updateEndpoint(1, Endpoint.State.READY, startedAtUs);
                } else if (ageUs == listedAtAgeUs) {
                    gateways.get(i).host.updateEndpoint(1, Endpoint.State.READY, startedAtUs);
                }
                if (gateways.get(i).step()) {
                    sentAtAge.add(ageUs);
                }
            }
        }
        assertThat(sentAtAge).as("the backend gets attempts").hasSizeGreaterThan(3);
        for (long fromUs : sentAtAge) {
            long inWindow = sentAtAge.stream()
                    .filter(sentUs -> sentUs >= fromUs && sentUs < fromUs + WINDOW_US)
                    .count();
            assertThat((double) inWindow).as("from age %d", fromUs).isLessThanOrEqualTo(maxAttemptsFrom(fromUs));
        }
    }
}
