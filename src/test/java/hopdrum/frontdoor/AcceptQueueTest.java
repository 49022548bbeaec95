package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against deadlines that count from the accept, and not from the time at which the client may have sent. */
class AcceptQueueTest {
    private static final int MAX_LENGTH = 4;

    @Test
    void aConnectionMayHaveWaitedSinceTheQueueWasLastKnownToBeEmpty() {
        AcceptQueue queue = new AcceptQueue(MAX_LENGTH, 100);
        assertThat(queue.accepted(500)).isEqualTo(100);
        queue.foundEmpty();
        queue.mayHoldSince(600);
        queue.mayHoldSince(700);
        assertThat(queue.accepted(800)).isEqualTo(600);
        queue.foundEmpty();
        queue.mayHoldSince(900);
        assertThat(queue.accepted(900)).isEqualTo(900);
    }

    @Test
    void aConnectionIsYoungerThanAFullQueueOfConnectionsAcceptedBefore() {
        AcceptQueue queue = new AcceptQueue(MAX_LENGTH, 100);
        for (int i = 0; i < MAX_LENGTH; i++) {
            assertThat(queue.accepted(200 + i)).isEqualTo(100);
        }
        for (int i = 0; i < MAX_LENGTH; i++) {
            assertThat(queue.accepted(300 + i)).isEqualTo(100);
        }
        assertThat(queue.accepted(400)).isEqualTo(200 + MAX_LENGTH - 1);
    }
}
