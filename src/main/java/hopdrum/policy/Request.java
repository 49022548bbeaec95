package hopdrum.policy;

import hopdrum.host.Outcome;

/**
 * The handle of a client's request, through which the front door reports the events of its attempts. Not thread-safe.
 */
public interface Request {
    /**
     * Reports the end of an attempt. Does nothing if the attempt has already ended.
     *
     * @param number the number of the attempt, from 0 in the order in which attempts start
     * @param outcome how the attempt ended
     * @param tookUs microseconds from the start of the attempt, including the network
     * @param clientAnswered whether the client has its answer, by this attempt or an earlier one
     * @param settledUnits the units that the request used as the backend reports them; 0 if the backend does not
     * @param report the backend's load report, with the fields that the settings name; empty if there is none
     */
    void attemptEnded(
            int number, Outcome outcome, long tookUs, boolean clientAnswered, int settledUnits, float[] report);

    /** Reports that the answer of an attempt has begun as a stream, which from here on is left to the client. */
    void streamStarted(int attempt);

    /** Reports that the client has left: no answer is owed any more. */
    void clientLeft();

    /** Returns true once the request has its final answer, or its client has left, and no attempt is in flight. */
    boolean isFinished();
}
