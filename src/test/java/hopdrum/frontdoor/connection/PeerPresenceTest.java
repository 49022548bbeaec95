package hopdrum.frontdoor.connection;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against attempts for clients whose close stands unread behind other bytes, and against doubt without reason. */
class PeerPresenceTest {
    private static final int REQUEST_BYTES = 300;
    private static final int READ_BYTES = 16 << 10;
    private static final long CONNECTED_AT_US = 1_000_000;
    private static final long PAUSE_US = 2_000;
    private static final long LONG_AFTER_US = CONNECTED_AT_US + 10 * PeerPresence.MAX_UNCERTAINTY_US;

    private final PeerPresence presence = new PeerPresence(CONNECTED_AT_US);

    private void findEmptyRepeatedly(long nowUs) {
        for (int i = 0; i < PeerPresence.CONFIRMING_READS; i++) {
            presence.foundEmpty(nowUs);
        }
    }

    @Test
    void aClientThatHasJustSentIsPresent() {
        findEmptyRepeatedly(LONG_AFTER_US);
        presence.bytesReceived(READ_BYTES, LONG_AFTER_US, LONG_AFTER_US);
        assertThat(presence.mayHaveLeft(LONG_AFTER_US + PeerPresence.MAX_UNCERTAINTY_US))
                .isFalse();
        assertThat(presence.mayHaveLeft(LONG_AFTER_US + PeerPresence.MAX_UNCERTAINTY_US + 1))
                .isTrue();
    }

    @Test
    void theTimeBeforeTheFirstReadCounts() {
        presence.bytesReceived(REQUEST_BYTES, LONG_AFTER_US, LONG_AFTER_US);
        assertThat(presence.mayHaveLeft(LONG_AFTER_US)).isTrue();
    }

    @Test
    void anEmptyReadBehindFewBytesThatHaveJustComeShowsThatTheClientIsPresent() {
        findEmptyRepeatedly(LONG_AFTER_US);
        presence.bytesReceived(REQUEST_BYTES, LONG_AFTER_US, LONG_AFTER_US);
        presence.foundEmpty(LONG_AFTER_US);
        assertThat(presence.isCertain()).isTrue();
    }

    @Test
    void severalEmptyReadsBehindFewBytesThatMayBeOldShowThatTheClientIsPresent() {
        presence.bytesReceived(REQUEST_BYTES, CONNECTED_AT_US, LONG_AFTER_US);
        presence.foundEmpty(LONG_AFTER_US);
        assertThat(presence.mayHaveLeft(LONG_AFTER_US)).isTrue();
        findEmptyRepeatedly(LONG_AFTER_US);
        assertThat(presence.mayHaveLeft(LONG_AFTER_US)).isFalse();
    }

    @Test
    void anEmptyReadBehindManyBytesShowsNothingBeforeAPause() {
        presence.bytesReceived(READ_BYTES, CONNECTED_AT_US, LONG_AFTER_US);
        findEmptyRepeatedly(LONG_AFTER_US + PAUSE_US - 1);
        assertThat(presence.mayHaveLeft(LONG_AFTER_US + PAUSE_US - 1)).isTrue();
        findEmptyRepeatedly(LONG_AFTER_US + PAUSE_US);
        assertThat(presence.isQuiet()).isTrue();
        assertThat(presence.mayHaveLeft(LONG_AFTER_US + PAUSE_US)).isFalse();
    }

    @Test
    void aFailedReadAfterAPauseShowsNothing() {
        presence.bytesReceived(READ_BYTES, CONNECTED_AT_US, LONG_AFTER_US);
        assertThat(presence.isQuiet()).isFalse();
        assertThat(presence.mayHaveLeft(LONG_AFTER_US + 10 * PAUSE_US)).isTrue();
    }

    @Test
    void aPartOfABacklogEndsThePauseAndAFewBytesDoNot() {
        presence.bytesReceived(READ_BYTES, CONNECTED_AT_US, LONG_AFTER_US);
        presence.bytesReceived(1, LONG_AFTER_US + 1_000, LONG_AFTER_US + 1_000);
        findEmptyRepeatedly(LONG_AFTER_US + PAUSE_US);
        assertThat(presence.isQuiet()).isTrue();
        presence.bytesReceived(READ_BYTES, LONG_AFTER_US + PAUSE_US, LONG_AFTER_US + PAUSE_US);
        findEmptyRepeatedly(LONG_AFTER_US + PAUSE_US + 1_000);
        assertThat(presence.isQuiet()).isFalse();
    }

    @Test
    void aStreamThatIsNotReadForAWhileHidesTheEnd() {
        presence.foundEmpty(CONNECTED_AT_US);
        presence.readingSuspended(CONNECTED_AT_US);
        presence.bytesReceived(REQUEST_BYTES, LONG_AFTER_US, LONG_AFTER_US);
        findEmptyRepeatedly(LONG_AFTER_US);
        assertThat(presence.mayHaveLeft(LONG_AFTER_US)).isTrue();
    }
}
