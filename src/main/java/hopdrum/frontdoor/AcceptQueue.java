package hopdrum.frontdoor;

/**
 * Estimates since when connections have been waiting in the queue of a listening socket, whose kernel tells nothing about
 * it. Times are in microseconds of the event loop's clock.
 */
final class AcceptQueue {
    private static final long NONE = -1;

    private final int maxLength;
    private long waitingSinceUs; // the earliest arrival of a connection that may be waiting; NONE if none is
    private long checkpointUs; // once as many connections as fit have been accepted since, all waiting ones are younger
    private int acceptedSinceCheckpoint;

    /**
     * Starts with a queue that is filled from now on.
     *
     * @param maxLength the most connections that the queue holds
     */
    AcceptQueue(int maxLength, long nowUs) {
        this.maxLength = maxLength;
        this.waitingSinceUs = nowUs;
        this.checkpointUs = nowUs;
    }

    /** Notes that the queue has been found empty. */
    void foundEmpty() {
        waitingSinceUs = NONE;
    }

    /** Notes that connections may wait from a time on; no effect if some already do. */
    void mayHoldSince(long atUs) {
        if (waitingSinceUs == NONE) {
            waitingSinceUs = atUs;
            checkpointUs = atUs;
            acceptedSinceCheckpoint = 0;
        }
    }

    /**
     * Notes that a connection has been accepted.
     *
     * @return the earliest time at which it can have arrived
     */
    long accepted(long nowUs) {
        long arrivedAtUs = waitingSinceUs;
        if (++acceptedSinceCheckpoint >= maxLength) {
            waitingSinceUs = checkpointUs;
            checkpointUs = nowUs;
            acceptedSinceCheckpoint = 0;
        }
        return arrivedAtUs;
    }
}
