package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Endpoint;
import hopdrum.host.Method;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import java.util.List;
import org.junit.jupiter.api.Test;

class RulesStoryTest {
    private final FakeHost door = new FakeHost();

    private void method(Method.RetrySafety repeat, Method.DeduplicationScope group) {
        door.method = new Method(2_000_000, 7_500_000, repeat, group, 1_000_000, 0, false);
    }

    @Test
    void anRpcThatNobodyAnswersIsGivenUpBeforeItsDeadlineAndOnlyOnce() {
        door.start(1);
        Request rpc = door.takeInQuota();
        door.pass(7_490_000);
        assertThat(door.heard("refuse 1")).hasSize(1);
        door.end(rpc, 0, Outcome.CANCELLED, 2_000_000);
        assertThat(door.heard("refuse 1")).hasSize(1);
        assertThat(rpc.isFinished()).isTrue();
    }

    @Test
    void aNonIdempotentRpcThatMayHaveRunIsAbortedAndNeverSentAgain() {
        method(Method.RetrySafety.NON_IDEMPOTENT, Method.DeduplicationScope.ALL);
        door.start(3);
        Request rpc = door.takeInQuota();
        door.end(rpc, 0, Outcome.ERROR, 5_000);
        assertThat(door.heard("attempt 1 ")).hasSize(1);
        assertThat(door.heard("abort 1")).hasSize(1);
        assertThat(door.heard("refuse")).isEmpty();
    }

    @Test
    void aNonIdempotentRpcThatIsKnownNotToHaveRunMayBeSentAgain() {
        method(Method.RetrySafety.NON_IDEMPOTENT, Method.DeduplicationScope.ALL);
        door.start(3);
        door.end(door.takeInQuota(), 0, Outcome.AT_CAPACITY, 5_000);
        assertThat(door.heard("attempt 1 ")).hasSize(2);
    }

    @Test
    void aDeduplicatedRpcStaysInTheCellOfItsFirstAttemptAndIsNeverRefused() {
        method(Method.RetrySafety.DEDUPLICATED, Method.DeduplicationScope.CELL);
        door.start(4);
        Request rpc = door.takeInQuota();
        for (int i = 0; i < 3; i++) {
            door.end(rpc, i, Outcome.ERROR, 5_000);
        }
        long parity = door.heard("attempt 1 ").stream()
                .map(a -> a.charAt(a.length() - 1) % 2)
                .distinct()
                .count();
        assertThat(parity).isEqualTo(1);
        assertThat(door.heard("abort 1")).hasSize(1);
        assertThat(door.heard("refuse")).isEmpty();
    }

    @Test
    void aDeduplicatedRpcIsNotSentAgainOnceItsWindowHasPassed() {
        method(Method.RetrySafety.DEDUPLICATED, Method.DeduplicationScope.ALL);
        door.start(4);
        Request rpc = door.takeInQuota();
        door.pass(1_100_000);
        int before = door.heard("attempt 1 ").size();
        for (int i = 0; i < before; i++) {
            door.end(rpc, i, Outcome.ERROR, 1_100_000);
        }
        door.pass(7_000_000);
        assertThat(door.heard("attempt 1 ")).hasSize(before);
    }

    @Test
    void aRepeatIsToldByWhenItHasToBeginHoweverLateItsConnectionIs() {
        method(Method.RetrySafety.DEDUPLICATED, Method.DeduplicationScope.ALL);
        door.start(4);
        Request rpc = door.takeInQuota();
        door.pass(300_000);
        door.end(rpc, 0, Outcome.ERROR, 300_000);
        assertThat(door.heard("attempt 1 ")).hasSize(2);
        assertThat(door.beginWithin.get(1))
                .as("a window of 1 s, from the first")
                .isBetween(600_000L, 700_000L);
    }

    @Test
    void aRequestWhoseClientLeavesWhileItsCountIsOutIsNeverSentOnAndItsUnitsGoBack() {
        door.start(3);
        Request rpc = door.take();
        rpc.clientLeft();
        assertThat(rpc.isFinished()).isTrue();
        door.answer(2);
        door.pass(3_000_000);
        assertThat(door.heard("attempt")).isEmpty();
        assertThat(door.heard("add")).containsExactly("add 1.0", "add -1.0");
    }

    @Test
    void whereTwoAttemptsAtOnceAreForbiddenTheFirstIsCancelledBeforeAnotherAndOnlyAwayFromAnEjectedBackend() {
        door.hedgingAllowed = false;
        door.start(3);
        Request rpc = door.takeInQuota();
        door.pass(1_500_000);
        assertThat(door.heard("cancel")).as("a long RPC is long elsewhere too").isEmpty();
        door.end(rpc, 0, Outcome.OK, 1_500_000);
        for (int i = 0; i < 6; i++) {
            door.takeInQuota(); // two for each backend; the second that is overdue ejects one
        }
        door.pass(1_500_000);
        assertThat(door.heard("cancel")).hasSize(1);
        assertThat(door.heard("attempt")).hasSize(7);
    }

    @Test
    void aBackendThatDrainsGetsNothingNew() {
        door.start(2);
        door.list(1, Endpoint.State.DRAINING, 0);
        for (int i = 0; i < 3; i++) {
            door.end(door.takeInQuota(), 0, Outcome.OK, 100_000);
        }
        assertThat(door.heard("attempt")).hasSize(3).allMatch(a -> a.endsWith("to 2"));
    }

    @Test
    void aColdBackendGetsThisGatewaysShareOfItsRampAlone() {
        door.start(0);
        door.list(1, Endpoint.State.READY, door.clockUs);
        for (int i = 0; i < 20; i++) {
            Request rpc = door.takeInQuota();
            if (!door.heard("attempt " + (i + 1) + " ").isEmpty()) {
                door.end(rpc, 0, Outcome.OK, 10_000);
            }
            door.pass(50_000);
        }
        // 0.7 x 2 x a fifth of one core x 1.5 s, over two gateways: under one answer's time (250 ms) a window
        assertThat(door.heard("attempt")).hasSizeBetween(1, 2);
    }

    @Test
    void aRestartedGatewayDoesNotStakeACeilingOnWhatItDoesNotKnow() {
        door.plan = new Plan(2, 4, 0, 2.2, 4.4, 0.4);
        door.start(3);
        door.take();
        door.policy.counterAnswered(
                door.lastName(),
                Outcome.OK,
                1,
                1_000); // its call made the name: a burst of 0.8 is all that the ceiling surely leaves
        assertThat(door.heard("refuse 1")).hasSize(1);
    }

    @Test
    void openAttemptsAreHeldToThisGatewaysShareOfTheLimit() {
        door.plan = new Plan(0, 0, 4, 0, 0, 0);
        door.start(3);
        for (int i = 0; i < 3; i++) {
            door.take();
        }
        assertThat(door.heard("attempt")).hasSize(2);
        assertThat(door.heard("refuse 3")).hasSize(1);
        assertThat(door.heard("add")).isEmpty();
    }

    @Test
    void aStreamThatHasBegunIsLeftToTheClient() {
        door.start(3);
        Request rpc = door.takeCounted(2);
        rpc.streamStarted(0);
        door.pass(7_490_000);
        assertThat(door.heard("attempt 1 ")).hasSize(1);
        assertThat(door.heard("refuse")).isEmpty();
    }

    @Test
    void oddListsSetsAndMessagesAreBorne() {
        door.start(2);
        door.policy.endpointsUpdated(0, Endpoint.UpdateKind.COMPLETE, List.of()); // empty
        door.takeInQuota();
        door.list(1, Endpoint.State.READY, 0);
        door.list(1, Endpoint.State.READY, 0); // twice
        door.policy.gossipReceived(new byte[3]);
        assertThat(door.heard("attempt 1 ")).hasSize(1);
        door.policy.requestReceived(50, 0, 12, 0, 1, 1, 9, 7_500_000); // more gateways in its set than there are
        door.policy.counterAnswered(door.lastName(), Outcome.OK, 1, 1_000);
        assertThat(door.heard("attempt 50 ")).hasSize(1);
    }
}
