package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.lifecycle.EventLoop;

/** One attempt of a request: sent to one backend over one connection. Created by {@link InFlightRequest#addAttempt}. */
public final class Attempt {
    private final InFlightRequest request;
    private final int number;
    private final long startedAtUs;
    private final long deadlineUs; // Policy stops waiting for its response
    private final long writeByUs; // later its request may not be written any more
    private BackendConnection connection; // null before it is assigned to one, and once it has left it
    private EventLoop.Timer timeout;
    private boolean ended;
    private boolean responseForwarded;

    Attempt(InFlightRequest request, int number, long nowUs, long timeoutUs, long writeWithinUs) {
        this.request = request;
        this.number = number;
        this.startedAtUs = nowUs;
        this.deadlineUs = nowUs + timeoutUs;
        this.writeByUs = nowUs + writeWithinUs;
    }

    /** The request that this is an attempt of. */
    public InFlightRequest request() {
        return request;
    }

    /** Its number among its request's attempts, from 0 on, in the order sent. */
    public int number() {
        return number;
    }

    /** When it was started. */
    public long startedAtUs() {
        return startedAtUs;
    }

    long deadlineUs() {
        return deadlineUs;
    }

    long writeByUs() {
        return writeByUs;
    }

    /** True once {@link #end()} has been called. */
    public boolean isEnded() {
        return ended;
    }

    /** Runs {@code onTimeout} at the attempt's deadline unless it has ended by then. */
    public void armTimeout(EventLoop loop, Runnable onTimeout) {
        timeout = loop.scheduleAt(deadlineUs, onTimeout);
    }

    /** Marks the attempt as ended and cancels its timeout; false if it had ended before. */
    public boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        timeout.cancel();
        return true;
    }

    /** Closes the connection that it is on, if any, without waiting for a response. */
    public void abandon() {
        if (connection != null) {
            connection.abandonAttempt();
            connection = null;
        }
    }

    /** Records that its response, whatever its status, was forwarded to the client. */
    public void markResponseForwarded() {
        responseForwarded = true;
    }

    /** Whether its response was forwarded to the client. */
    public boolean isResponseForwarded() {
        return responseForwarded;
    }

    void assignTo(BackendConnection assigned) {
        connection = assigned;
    }

    void unassign() {
        connection = null;
    }
}
