package hopdrum.policy;

import hopdrum.host.Outcome;

/** The handle of one client request, on which the front door reports what becomes of its attempts. One thread only. */
public interface Request {
    /**
     * An attempt has ended. Does nothing for an attempt that has ended already.
     *
     * @param number the attempt's number, in the order started, from 0
     * @param outcome how it ended
     * @param tookUs microseconds from its start, the network included
     * @param clientAnswered whether the client has its answer, by this attempt or earlier
     * @param settledUnits the units that it used by the backend's account; 0 if that is not told
     * @param report the backend's load report, by the settings' fields; empty without one
     */
    void attemptEnded(
            int number, Outcome outcome, long tookUs, boolean clientAnswered, int settledUnits, float[] report);

    /** The answer of an attempt has begun as a stream: from here on it belongs to the client. */
    void streamStarted(int attempt);

    /** The client has left: no answer is owed any more. */
    void clientLeft();

    /** True once nothing more will come of this request. */
    boolean isFinished();
}
