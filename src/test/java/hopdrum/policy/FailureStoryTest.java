package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Endpoint;
import hopdrum.host.Method;
import hopdrum.host.Outcome;
import hopdrum.host.Plan;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FailureStoryTest {
    private final FakeHost door = new FakeHost();

    private Request served(long tookUs) {
        Request rpc = door.takeInQuota();
        door.end(rpc, 0, Outcome.OK, tookUs);
        return rpc;
    }

    @Test
    void aBackendThatTakesWorkAndNeverAnswersIsLeftAloneAndItsWorkTriedElsewhere() {
        door.start(3);
        for (int i = 0; i < 30; i++) {
            served(50_000);
        }
        door.pass(10_000);
        door.asked.clear();
        List<Request> stuck = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            stuck.add(door.takeInQuota());
        }
        String hung = door.heard("attempt").get(0).replaceAll(".* to ", " to ");
        for (Request rpc : stuck) {
            if (!door.heard("attempt").get(stuck.indexOf(rpc)).endsWith(hung)) {
                door.end(rpc, 0, Outcome.OK, 50_000);
            }
        }
        door.pass(500_000);
        assertThat(door.heard("attempt")).as("second copies for what hangs").hasSizeGreaterThan(6);
        door.asked.clear();
        for (int i = 0; i < 6; i++) {
            served(50_000);
        }
        assertThat(door.heard("attempt")).hasSize(6).noneMatch(a -> a.endsWith(hung));
    }

    @Test
    void fastFailuresTakePlacesAwayAndTheRpcIsTriedElsewhere() {
        door.start(3);
        for (int i = 0; i < 12; i++) {
            Request rpc = door.takeInQuota();
            int last = door.heard("attempt " + (i + 1) + " ").size() - 1;
            if (door.heard("attempt " + (i + 1) + " ").get(last).endsWith("to 1")) {
                door.end(rpc, last, Outcome.ERROR, 1_000);
                last++;
            }
            door.end(rpc, last, Outcome.OK, 100_000);
        }
        assertThat(door.heard("attempt").stream()
                        .filter(a -> a.endsWith("to 1"))
                        .count())
                .isLessThanOrEqualTo(4);
        assertThat(door.heard("refuse")).isEmpty();
    }

    @Test
    void answersThatCannotBeReadAreTriedElsewhereAndNobodysFault() {
        door.start(2);
        for (int i = 1; i <= 10; i++) {
            Request rpc = door.takeInQuota();
            if (door.heard("attempt " + i + " ").get(0).endsWith("to 1")) {
                door.end(rpc, 0, Outcome.UNREADABLE, 1_000);
                assertThat(door.heard("attempt " + i + " ").get(1)).endsWith("to 2");
                door.end(rpc, 1, Outcome.OK, 500_000);
            } else {
                door.end(rpc, 0, Outcome.OK, 500_000);
            }
            door.pass(100_000);
        }
        assertThat(door.heard("attempt").stream()
                        .filter(a -> a.endsWith("to 1"))
                        .count())
                .isGreaterThan(4);
    }

    @Test
    void aTotalThatCannotBeReadWasAddedAndSaysNothingOfACrowd() {
        door.start(2);
        door.answer(door.take() == null ? 0 : 1);
        for (int i = 0; i < 5; i++) {
            door.pass(1_000_000);
            door.take();
            door.policy.counterAnswered(door.lastName(), Outcome.UNREADABLE, 0, 1_000);
        }
        assertThat(door.heard("attempt"))
                .as("let in by the slice of what is known")
                .hasSizeGreaterThan(3);
        assertThat(door.heard("add"))
                .as("asked at each, and nothing owed")
                .hasSize(6)
                .allMatch(a -> a.equals("add 1.0"));
    }

    @Test
    void notAllBackendsAreEverEjected() {
        door.start(2);
        for (int i = 0; i < 20; i++) {
            Request rpc = door.takeInQuota();
            for (int c = 0; c < 3; c++) {
                door.end(rpc, c, Outcome.ERROR, 1_000);
            }
            door.pass(100_000);
        }
        door.asked.clear();
        door.takeInQuota();
        assertThat(door.heard("attempt")).hasSize(1);
    }

    @Test
    void workThatCannotMeetItsSoftDeadlineGoesBackEarlyAndItsUnitsToo() {
        door.start(1);
        for (int i = 0; i < 8; i++) {
            door.takeInQuota();
        }
        door.pass(1_990_000);
        int refused = door.heard("refuse").size();
        assertThat(refused).isGreaterThan(4);
        assertThat(door.heard("refuse").get(0)).as("says when to come back").doesNotEndWith(" for 0");
        assertThat(door.heard("attempt").size() + refused).isGreaterThanOrEqualTo(8);
        door.asked.clear();
        door.takeInQuota();
        assertThat(door.heard("add").get(0))
                .as("units of work never sent ride back on the next call")
                .startsWith("add -");
    }

    @Test
    void whoCanOnlyBeLateGoesBackWhileOthersWaitAndIsServedLateWhereNobodyDoes() {
        door.method = new Method(
                2_000_000, 7_500_000, Method.RetrySafety.IDEMPOTENT, Method.DeduplicationScope.ALL, 0, 0.2, false);
        door.start(1);
        List<Request> taken = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            taken.add(door.takeInQuota());
        }
        int sent = door.heard("attempt").size();
        door.pass(1_990_000);
        assertThat(door.heard("refuse")).as("all that wait, but one").hasSize(8 - sent - 1);
        door.end(taken.get(0), 0, Outcome.OK, 1_990_000);
        assertThat(door.heard("attempt"))
                .as("a place is free, and nobody else waits")
                .hasSize(sent + 1);
        assertThat(door.heard("abort")).isEmpty();
    }

    @Test
    void aClientsRepeatPastItsSoftDeadlineTakesNoUnits() {
        door.start(3);
        for (int i = 0; i < 5; i++) {
            served(50_000);
        }
        door.asked.clear();
        door.policy.requestReceived(99, 0, 11, 0, 1, 0, 2, 5_000_000); // 2.5 s of its client's 7.5 s are gone
        assertThat(door.asked).containsExactly("refuse 99 for 0");
    }

    @Test
    void clientsRefusedAreNamedDifferentTimesToReturn() {
        door.start(3);
        door.takeCounted(-0.2);
        door.take();
        door.take();
        assertThat(door.heard("refuse").stream()
                        .map(a -> a.replaceAll(".* for ", ""))
                        .distinct())
                .hasSize(3);
    }

    @Test
    void callsBeyondTheCreditKnownAwaitTheVerdictOfThoseThatAreOut() {
        door.start(3);
        door.takeCounted(1.5);
        door.asked.clear();
        for (int i = 0; i < 5; i++) {
            door.take();
        }
        assertThat(door.heard("add"))
                .as("one call for the credit of 1.5, the rest wait")
                .hasSize(1);
        door.answer(-0.5);
        assertThat(door.heard("refuse")).hasSize(5);
    }

    @Test
    void aCrowdedCounterIsAskedAtThePaceItAnswers() {
        door.start(3);
        int calls = 0;
        for (int i = 0; i < 500; i++) {
            int before = door.heard("add").size();
            Request rpc = door.policy.requestReceived(1000 + i, 0, 100 + i, 0, 1, 0, 2, 7_500_000);
            if (door.heard("add").size() > before) {
                calls++;
                door.policy.counterAnswered(door.lastName(), Outcome.AT_CAPACITY, 0, 300);
            }
            door.pass(4_000);
        }
        assertThat(calls)
                .as("2 s: a window at full pace, then five trials a second")
                .isBetween(20, 80);
    }

    @Test
    void callsLostTogetherAreOneLossAndPacingEndsOnceTheCounterAnswersAll() {
        door.start(2);
        for (int i = 0; i < 20; i++) {
            door.policy.requestReceived(100 + i, 0, 100 + i, 0, 1, 0, 2, 7_500_000);
        }
        for (long name : List.copyOf(door.names)) {
            door.policy.counterAnswered(name, Outcome.TIMED_OUT, 0, 50_000);
        }
        for (int second = 0; second < 8; second++) {
            door.asked.clear();
            for (int i = 0; i < 100; i++) {
                door.pass(10_000);
                int asked = door.names.size();
                door.policy.requestReceived(1000 + 100 * second + i, 0, 1000 + 100 * second + i, 0, 1, 0, 2, 7_500_000);
                if (door.names.size() > asked) {
                    door.policy.counterAnswered(door.lastName(), Outcome.OK, door.totalFor(2), 1_000);
                }
            }
            assertThat(door.heard("add").size()).as("asked in second " + second).isGreaterThan(90);
        }
    }

    @Test
    void aConnectionThatBreaksWhileTheCounterAnswersIsNoCrowd() {
        door.start(2);
        for (int i = 0; i < 20; i++) {
            door.takeCounted(2);
            door.policy.requestReceived(100 + i, 0, 100 + i, 0, 1, 0, 2, 7_500_000);
            door.policy.counterAnswered(door.lastName(), Outcome.CONNECT_FAILED, 0, 1_000);
            door.pass(10_000);
        }
        door.asked.clear();
        for (int i = 0; i < 20; i++) {
            door.policy.requestReceived(200 + i, 0, 200 + i, 0, 1, 0, 2, 7_500_000);
        }
        assertThat(door.heard("add")).hasSize(20);
    }

    /** Calls are paced and few; returns how many RPCs of one customer were let in up to its next call, with that one. */
    private int letInWhilePaced() {
        door.gateways = 3;
        door.plan = new Plan(2, 30, 0, 0, 0, 0);
        door.start(2);
        door.takeCounted(20);
        for (int i = 0; i < 40; i++) { // another customer's calls are turned away but for the last: calls become few
            door.policy.requestReceived(100 + i, 0, 12, 0, 1, 0, 3, 7_500_000);
            door.policy.counterAnswered(door.lastName(), i < 39 ? Outcome.AT_CAPACITY : Outcome.OK, 10, 1_000);
            door.pass(60_000);
        }
        door.asked.clear();
        int letIn = 0;
        while (door.heard("add").isEmpty() && letIn < 50) {
            door.take();
            letIn++;
        }
        assertThat(letIn).as("some without a call").isGreaterThan(1);
        return letIn;
    }

    @Test
    void whatABucketLetInWhileCallsArePacedIsAddedByItsOwnCustomersNextCall() {
        int letIn = letInWhilePaced();
        assertThat(door.heard("add")).as("all of them, and no other's").isEqualTo(List.of("add " + (double) letIn));
    }

    @Test
    void whatBucketsLetInBeyondAQuotaIsNoDebtOfItsCount() {
        int letIn = letInWhilePaced();
        door.answer(-letIn); // others have used all that the store held: none of these took anything from it
        assertThat(door.heard("add")).containsExactly("add " + (double) letIn, "add " + (double) -letIn);
        door.pass(600_000);
        door.asked.clear();
        door.take();
        assertThat(door.heard("refuse"))
                .as("a refill of 2 a second has made room")
                .isEmpty();
    }

    @Test
    void theExcessOfANewNameIsLeftToItsMakerUnlessItStands() {
        door.start(3);
        door.take();
        door.policy.counterAnswered(
                door.lastName(), Outcome.OK, 2, 1_000); // another gateway's unit is in it: that one made it
        assertThat(door.heard("add")).containsExactly("add 1.0");
        door.pass(301_000);
        door.take();
        door.policy.counterAnswered(door.lastName(), Outcome.OK, 3, 1_000);
        assertThat(door.heard("add"))
                .as("its maker is gone, or its add was lost")
                .hasSize(3);
        assertThat(door.totalFor(0)
                        - 3
                        - Double.parseDouble(door.heard("add").get(2).substring(4)))
                .as("trimmed to a full burst, less its unit")
                .isBetween(2.9, 3.1);
    }

    @Test
    void thePaceOfCallsRisesAgainWhereTheWayToTheCounterIsLong() {
        door.gateways = 8;
        door.start(3);
        for (int i = 0; i < 20; i++) {
            door.policy.requestReceived(i, 0, 500 + i, 0, 1, 0, 8, 7_500_000);
            door.policy.counterAnswered(door.lastName(), Outcome.AT_CAPACITY, 0, 20_000); // paced, to the least pace
            door.pass(60_000);
        }
        for (int second = 0; second < 10; second++) {
            door.asked.clear();
            for (int i = 0; i < 100; i++) {
                int calls = door.names.size();
                door.policy.requestReceived(100 * second + i, 0, 1_000 + 100 * second + i, 0, 1, 0, 8, 7_500_000);
                if (door.names.size() > calls) {
                    door.policy.counterAnswered(
                            door.lastName(), Outcome.OK, door.totalFor(3), 20_000); // as long as each takes
                }
                door.pass(10_000);
            }
        }
        assertThat(door.heard("add").size())
                .as("asked in the last second, 7 or 8 at first")
                .isGreaterThan(30);
    }

    @Test
    void aRepeatThatNobodyListedMayTakeIsAnsweredAtOnce() {
        door.method = new Method(
                2_000_000,
                7_500_000,
                Method.RetrySafety.DEDUPLICATED,
                Method.DeduplicationScope.CELL,
                6_000_000,
                0,
                false);
        door.start(2);
        Request rpc = door.takeInQuota();
        long first = door.heard("attempt").get(0).endsWith("to 1") ? 1 : 2;
        door.list(first, Endpoint.State.GONE, 0);
        door.end(rpc, 0, Outcome.RESET, 1_000);
        assertThat(door.heard("abort")).hasSize(1);
    }

    @Test
    void afterAnOutageAGatewayOwesOnlyWhatItsBucketLacks() {
        door.start(3);
        door.pass(10_000_000);
        door.takeCounted(4);
        for (int i = 0; i < 20; i++) { // ten seconds without an answer, one unit let in each second
            door.take();
            door.pass(500_000);
        }
        door.answer(4);
        door.asked.clear();
        door.take();
        assertThat(Double.parseDouble(door.heard("add").get(0).substring(4))).isLessThanOrEqualTo(3);
    }

    @Test
    void theCallThatMakesANameRestoresWhatThisGatewayRemembers() {
        door.start(3);
        door.takeCounted(1);
        door.asked.clear();
        door.take();
        door.policy.counterAnswered(door.lastName(), Outcome.OK, 1, 1_000); // emptied: the total is this call's own
        assertThat(door.heard("attempt")).hasSize(1);
        double restored = Double.parseDouble(door.heard("add").get(1).substring(4));
        assertThat(door.totalFor(0) - 1 - restored)
                .as("no fresh burst: nothing is left")
                .isBetween(-0.1, 0.1);
    }

    @Test
    void theGatewayWhoseExcessCameSecondTakesItBack() {
        door.start(3);
        door.takeCounted(20);
        double excess = Double.parseDouble(door.heard("add").get(1).substring(4));
        door.answer(20 - 2 * excess); // another gateway had added the same
        assertThat(door.heard("add").get(2)).isEqualTo("add " + -excess);
    }

    @Test
    void anExcessThatWasTurnedAwayIsNotOwedLater() {
        door.start(3);
        door.takeCounted(20);
        door.policy.counterAnswered(
                door.lastName(), Outcome.AT_CAPACITY, 0, 300); // another gateway will see it and add it
        door.asked.clear();
        for (int i = 0; i < 3; i++) {
            door.take();
        }
        assertThat(Double.parseDouble(door.heard("add").get(0).substring(4))).isBetween(1.0, 3.0);
    }

    @Test
    void aReadingBeyondQuotaWhileCallsArePacedIsToldToTheCustomersOtherGateways() {
        door.gateways = 3;
        door.start(3);
        door.pass(10_000_000);
        door.takeCounted(2);
        door.take();
        door.policy.counterAnswered(door.lastName(), Outcome.AT_CAPACITY, 0, 300); // a call lost: paced from here on
        while (door.heard("tell").isEmpty() && door.clockUs < 200_000_000) {
            int calls = door.heard("add").size();
            door.take();
            if (door.heard("add").size() > calls) {
                door.answer(-0.5);
            }
            door.pass(100_000);
        }
        assertThat(door.heard("tell")).as("of gateways 0 and 1, this being 0").containsExactly("tell 1");
    }

    private static byte[] told(long customer, float credit) {
        return ByteBuffer.allocate(9)
                .put((byte) (customer >> 32))
                .putInt((int) customer)
                .putFloat(credit)
                .array();
    }

    @Test
    void aCustomerToldToHaveNoRoomIsRefusedWithoutCallsUntilItsRefillMakesRoom() {
        door.start(3);
        door.policy.gossipReceived(told(11, -1));
        for (int i = 0; i < 10; i++) {
            door.take();
        }
        assertThat(door.heard("add")).isEmpty();
        assertThat(door.heard("refuse")).hasSize(10).first().asString().endsWith(" for 1000000");
        door.pass(1_000_000); // at 2 a second, a credit of -1 is one of 1 now
        door.takeCounted(0);
        assertThat(door.heard("add")).hasSize(1);
        assertThat(door.heard("attempt"))
                .as("no slice holds it back any longer")
                .hasSize(1);
    }

    @Test
    void aWordOfACustomerNotSeenHereYetHoldsAtItsFirstRpc() {
        door.gateways = 100;
        door.start(3);
        long customer = (1L << 33) - 2;
        door.policy.gossipReceived(told(customer, 0.5f));
        door.policy.requestReceived(1, 0, customer, 0, 1, 0, 100, 7_500_000);
        assertThat(door.heard("refuse")).hasSize(1);
        assertThat(door.heard("add")).isEmpty();
    }

    @Test
    void aFalseWordKeepsNobodyOutForLongerThanTwoBurstsTakeToRefill() {
        door.start(3);
        door.policy.gossipReceived(told(11, Float.NaN));
        door.policy.gossipReceived(told(11, Float.NEGATIVE_INFINITY));
        door.takeInQuota();
        assertThat(door.heard("attempt")).as("no number tells nothing").hasSize(1);
        door.policy.gossipReceived(told(11, -1e30f));
        door.pass(4_000_000);
        door.takeInQuota();
        assertThat(door.heard("attempt")).hasSize(2);
    }

    @Test
    void aWordOfMoreRoomThanIsKnownHereChangesNothing() {
        door.start(3);
        door.takeCounted(-3);
        door.policy.gossipReceived(told(11, 0.9f));
        door.asked.clear();
        door.pass(500_000);
        door.take();
        assertThat(door.heard("add")).isEmpty();
    }

    @Test
    void aSliceThatHoldsNoRpcDecidesNothingWhileThePaceLeavesACall() {
        door.gateways = 100;
        door.start(3);
        door.pass(10_000_000);
        door.takeCounted(2);
        door.policy.requestReceived(499, 0, 499, 0, 1, 0, 100, 7_500_000);
        door.policy.counterAnswered(door.lastName(), Outcome.AT_CAPACITY, 0, 300); // paced from here on
        door.asked.clear();
        for (int i = 0; i < 40; i++) {
            door.pass(2_000_000);
            door.policy.requestReceived(500 + i, 0, 500 + i, 0, 1, 0, 100, 7_500_000);
        }
        assertThat(door.heard("add")).hasSize(40);
    }

    /** A hundred gateways, calls paced, the counter answering, and no call to spare. */
    private void crowdHundredGateways() {
        door.gateways = 100;
        door.start(3);
        door.pass(1_000_000);
        door.takeCounted(2);
        door.policy.requestReceived(499, 0, 499, 0, 1, 0, 100, 7_500_000);
        door.policy.counterAnswered(door.lastName(), Outcome.AT_CAPACITY, 0, 300);
        door.policy.requestReceived(498, 0, 498, 0, 1, 0, 100, 7_500_000); // the one call that the pace leaves
        door.asked.clear();
    }

    @Test
    void whoIsNotToldToBeBeyondIsLetInWhereNoCallCanBeMadeAndTheCounterAnswers() {
        crowdHundredGateways();
        for (int i = 0; i < 20; i++) {
            door.policy.requestReceived(500 + i, 0, 500 + i, 0, 1, 0, 100, 7_500_000);
        }
        assertThat(door.heard("add")).isEmpty();
        assertThat(door.heard("refuse"))
                .as("but for one of four, soon after a start")
                .hasSizeLessThan(10);
    }

    @Test
    void whatSlicesThatHoldNoRpcLetInIsAddedByTheNextCallsForCustomersLikeThem() {
        crowdHundredGateways();
        for (int i = 0; i < 8; i++) {
            door.policy.requestReceived(500 + i, 0, 500 + i, 0, 1, 0, 100, 7_500_000);
        }
        assertThat(door.heard("add")).isEmpty();
        assertThat(door.heard("refuse")).as("some are let in").hasSizeLessThan(7);
        door.pass(3_000_000);
        door.policy.requestReceived(600, 0, 600, 0, 1, 0, 100, 7_500_000);
        assertThat(door.heard("add")).containsExactly("add 3.0");
    }

    @Test
    void aReaderAddsNothingAheadForSlicesThatHoldNoRpc() {
        crowdHundredGateways();
        door.pass(3_000_000);
        door.policy.requestReceived(600, 0, 600, 0, 1, 0, 100, 7_500_000);
        door.answer(-0.5);
        assertThat(door.heard("tell")).as("its other gateways").hasSize(99);
        assertThat(door.heard("add")).containsExactly("add 1.0", "add -1.0");
    }

    @Test
    void anUnknownCustomersFirstRpcIsMostlyLetInWhileTheCounterIsSilentThoughItsSliceIsSmall() {
        door.gateways = 100;
        door.start(3);
        door.pass(10_000_000);
        for (int i = 0; i < 20; i++) {
            door.policy.requestReceived(i, 0, 500 + i, 0, 1, 0, 100, 7_500_000);
        }
        door.pass(60_000);
        assertThat(door.heard("refuse")).isEmpty();
    }

    @Test
    void lateAnswersTakeAwayPlacesSoThatTheGatewaysQueuesDrain() {
        door.start(4);
        List<Request> out = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            out.add(door.takeInQuota());
        }
        for (Request rpc : out) {
            door.end(rpc, 0, Outcome.TIMED_OUT, 1_900_000);
        }
        door.asked.clear();
        for (int i = 0; i < 12; i++) {
            door.takeInQuota();
        }
        assertThat(door.heard("attempt"))
                .as("12 first places, less 0.3 for each while half are in use")
                .hasSizeBetween(8, 10);
    }

    @Test
    void aBackendSlowToSayFullIsShunnedForThatPlanAndKeepsItsPlaces() {
        door.start(2);
        Request rpc = door.takeInQuota();
        String first = door.heard("attempt 1 ").get(0).replaceAll(".* to ", " to ");
        door.end(rpc, 0, Outcome.AT_CAPACITY, 400_000);
        door.end(rpc, 1, Outcome.OK, 50_000);
        door.asked.clear();
        for (int i = 0; i < 4; i++) {
            door.takeInQuota();
        }
        assertThat(door.heard("attempt")).hasSize(4).noneMatch(a -> a.endsWith(first));
    }
}
