package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.host.Outcome;

/**
 * One attempt of a request: the request is forwarded once, to one backend over one connection. Created by {@link
 * InFlightRequest#addAttempt}.
 */
public final class Attempt {
    private final InFlightRequest request;
    private final int number;
    private final long startedAtUs;
    private final long deadlineUs; // when Policy stops waiting for the response
    private final long writeByUs; // the request may not be written later than this
    private BackendConnection connection; // null while the attempt is not assigned to one
    private EventLoop.Timer timeout;
    private boolean ended;
    private boolean neverRan;
    private boolean responseForwarded;

    Attempt(InFlightRequest request, int number, long nowUs, long timeoutUs, long writeWithinUs) {
        this.request = request;
        this.number = number;
        this.startedAtUs = nowUs;
        this.deadlineUs = nowUs + timeoutUs;
        this.writeByUs = nowUs + writeWithinUs;
    }

    /** The request that the attempt forwards. */
    public InFlightRequest request() {
        return request;
    }

    /** The attempt's index among the attempts of its request, from 0 on, in the order of their start. */
    public int number() {
        return number;
    }

    /** When the attempt was started. */
    public long startedAtUs() {
        return startedAtUs;
    }

    long deadlineUs() {
        return deadlineUs;
    }

    long writeByUs() {
        return writeByUs;
    }

    /** True once {@link #end} has been called. */
    public boolean isEnded() {
        return ended;
    }

    /** Schedules {@code onTimeout} for the attempt's deadline; {@link #end} cancels it. */
    public void armTimeout(EventLoop loop, Runnable onTimeout) {
        timeout = loop.scheduleAt(deadlineUs, onTimeout);
    }

    /** Marks the attempt as ended and cancels its timeout. Returns false if it had already ended. */
    public boolean end(Outcome outcome) {
        if (ended) {
            return false;
        }
        ended = true;
        neverRan = outcome == Outcome.AT_CAPACITY
                || outcome == Outcome.CONNECT_FAILED
                || outcome == Outcome.INVALID_REQUEST;
        timeout.cancel();
        return true;
    }

    /** Whether the backend may have executed the request, or may yet. */
    boolean mayHaveRun() {
        return !neverRan;
    }

    /** Closes the connection that the attempt is assigned to, if any, without waiting for the response. */
    public void abandon() {
        if (connection != null) {
            connection.abandonAttempt();
            connection = null;
        }
    }

    /** Records that the response to the attempt, whatever its status, was forwarded to the client. */
    public void markResponseForwarded() {
        responseForwarded = true;
    }

    /** Whether the response to the attempt was forwarded to the client. */
    public boolean isResponseForwarded() {
        return responseForwarded;
    }

    void assignTo(BackendConnection backendConnection) {
        connection = backendConnection;
    }

    void unassign() {
        connection = null;
    }
}
