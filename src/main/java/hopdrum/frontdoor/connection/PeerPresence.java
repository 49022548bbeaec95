package hopdrum.frontdoor.connection;

/**
 * Judges from the reads on a stream whether the other side may have ended it some time ago. The end of a stream stands
 * behind all bytes that were sent, and the kernel passes on a long backlog in parts, so the end may still be hidden though
 * no byte is left to read at the moment. Times are in microseconds of the event loop's clock.
 */
final class PeerPresence {
    /** The longest time for which the other side may have been gone while it counts as present. */
    static final long MAX_UNCERTAINTY_US = 50_000;

    /** Less than the kernels buffer for a receiver that does not read, so that the end cannot be hidden behind it. */
    static final int MIN_BACKLOG_BYTES = 16 << 10;

    /** So many empty reads in a row show that a stream is empty, also where single calls miss what has arrived. */
    static final int CONFIRMING_READS = 3;

    private static final long PAUSE_US = 2_000; // longer than the kernel takes to pass on the next part of a backlog
    private static final long MAX_WAIT_WITHOUT_PAUSE_US = 250_000; // of a client that keeps sending
    private static final int MIN_PART_BYTES = 1_024; // less than the kernel passes on at once if more is waiting
    private static final long NONE = -1;

    private long uncertainSinceUs; // the other side was present then; NONE while it certainly is
    private long bytesSinceCertain;
    private long pauseSinceUs; // less than MIN_PART_BYTES have arrived since then
    private int bytesInPause;
    private int emptyReads; // in a row
    private boolean quiet; // whether the last reads were empty at the end of a long enough pause

    /** Starts with a stream whose other side was certainly present at a time. */
    PeerPresence(long presentAtUs) {
        uncertainSinceUs = presentAtUs;
        pauseSinceUs = presentAtUs;
    }

    /**
     * Notes that bytes have been read.
     *
     * @param count the number of bytes
     * @param earliestArrivalUs the earliest time at which the first of them can have arrived
     * @param nowUs the time of the read
     */
    void bytesReceived(int count, long earliestArrivalUs, long nowUs) {
        if (isCertain()) {
            uncertainSinceUs = earliestArrivalUs;
            bytesSinceCertain = 0;
        }
        emptyReads = 0;
        quiet = false;
        bytesSinceCertain += count;
        bytesInPause += count;
        if (bytesInPause >= MIN_PART_BYTES) {
            pauseSinceUs = nowUs;
            bytesInPause = 0;
        }
    }

    /** Notes that a read has found neither bytes nor the end of the stream. */
    void foundEmpty(long nowUs) {
        emptyReads++;
        boolean isConfirmed = emptyReads >= CONFIRMING_READS;
        quiet = isConfirmed && nowUs - pauseSinceUs >= PAUSE_US;
        if (quiet || (!hasBacklog() && (isConfirmed || !mayHaveLeft(nowUs)))) {
            uncertainSinceUs = NONE;
        }
    }

    /** Notes that the stream is not read for a while, so that bytes and the end may arrive unnoticed. */
    void readingSuspended(long nowUs) {
        if (isCertain()) {
            uncertainSinceUs = nowUs;
        }
        bytesSinceCertain = Math.max(bytesSinceCertain, MIN_BACKLOG_BYTES);
        bytesInPause = MIN_PART_BYTES; // the next bytes end the pause, however few they are
        emptyReads = 0;
        quiet = false;
    }

    private boolean hasBacklog() {
        return bytesSinceCertain >= MIN_BACKLOG_BYTES;
    }

    /** Whether the last read has shown that the other side was present. */
    boolean isCertain() {
        return uncertainSinceUs == NONE;
    }

    /** Whether the last reads have found the stream empty after a pause, so that nothing was waiting to be passed on. */
    boolean isQuiet() {
        return quiet;
    }

    /** Whether a message that has waited for a time in microseconds need not wait for bytes behind it any longer. */
    boolean isSettled(long waitedUs) {
        return quiet || (isCertain() && waitedUs >= MAX_WAIT_WITHOUT_PAUSE_US);
    }

    /** Whether the other side may have left longer ago than {@link #MAX_UNCERTAINTY_US}. */
    boolean mayHaveLeft(long nowUs) {
        return !isCertain() && nowUs - uncertainSinceUs > MAX_UNCERTAINTY_US;
    }
}
