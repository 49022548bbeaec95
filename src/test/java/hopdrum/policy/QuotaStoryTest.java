package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Outcome;
import org.junit.jupiter.api.Test;

class QuotaStoryTest {
    private final FakeHost door = new FakeHost().start(3);

    @Test
    void anRpcWithinQuotaIsCountedThenSentOn() {
        door.take();
        assertThat(door.asked).containsExactly("add 1.0");
        door.answer(2);
        assertThat(door.heard("attempt 1 ")).hasSize(1);
    }

    @Test
    void anRpcBeyondQuotaGivesItsUnitsBackAndIsRefusedWithATimeToReturn() {
        door.takeCounted(-5);
        assertThat(door.asked)
                .startsWith("add 1.0", "add -1.0")
                .last()
                .asString()
                .startsWith("refuse 1 for ");
        assertThat(door.heard("refuse").get(0)).doesNotEndWith(" for 0");
        door.asked.clear();
        door.take();
        assertThat(door.asked)
                .as("the reading still stands: no call is needed")
                .hasSize(1)
                .first()
                .asString()
                .startsWith("refuse 2");
    }

    @Test
    void aSilentCounterLeavesTheSplitBucketToDecide() {
        door.pass(10_000_000);
        door.take();
        door.take();
        door.take();
        door.pass(20_000);
        assertThat(door.heard("attempt")).as("a burst of 4 over 2 gateways").hasSize(2);
        assertThat(door.heard("refuse 3")).hasSize(1);
    }

    @Test
    void aCallAnsweredLateWasAddedAndIsSettledOnTheSameName() {
        for (int i = 0; i < 3; i++) {
            door.take();
        }
        door.pass(20_000);
        door.asked.clear();
        long name = door.names.get(0);
        for (int i = 1; i <= 3; i++) {
            door.policy.counterAnswered(name, Outcome.OK, door.totalFor(-i), 30_000);
        }
        assertThat(door.heard("add -1.0"))
                .as("only what was not let in goes back")
                .isNotEmpty();
        assertThat(door.names).containsOnly(name);
    }
}
