package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.Attempt;
import hopdrum.frontdoor.connection.BackendConnection;
import hopdrum.frontdoor.connection.BackendDirectory;
import hopdrum.frontdoor.connection.ClientConnection;
import hopdrum.frontdoor.connection.ConnectionPool;
import hopdrum.frontdoor.connection.InFlightRequest;
import hopdrum.frontdoor.connection.InFlightRequests;
import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.wire.HttpReader;
import hopdrum.frontdoor.wire.RingBuffer;
import hopdrum.host.Outcome;
import java.io.IOException;

/**
 * Sends attempts to backends and notifies Policy when they end. Policy is never notified while it is calling this
 * class: an attempt that ends during such a call is reported through {@link EventLoop#runAfterCurrentEvent}.
 */
final class AttemptDispatcher implements BackendConnection.Listener {
    private static final Log LOG = new Log("frontdoor");
    private static final float[] NO_LOAD_REPORT = {};

    private final Config config;
    private final EventLoop loop;
    private final BackendDirectory directory;
    private final InFlightRequests requests;
    private final ResourceBudget budget;
    private final RequestTally tally;

    AttemptDispatcher(
            Config config,
            EventLoop loop,
            BackendDirectory directory,
            InFlightRequests requests,
            ResourceBudget budget,
            RequestTally tally) {
        this.config = config;
        this.loop = loop;
        this.directory = directory;
        this.requests = requests;
        this.budget = budget;
        this.tally = tally;
    }

    /** Starts an attempt; see {@link hopdrum.host.Host#startAttempt}. */
    void startAttempt(long requestId, long backendId, long timeoutUs, long writeWithinUs) {
        InFlightRequest request = requests.get(requestId);
        Attempt attempt = request.addAttempt(loop.nowUs(), timeoutUs, writeWithinUs);
        attempt.armTimeout(loop, () -> attemptTimedOut(attempt));
        ConnectionPool pool = directory.get(backendId);
        if (pool == null || clientMayHaveLeft(request)) {
            tally.attemptNotSent();
            loop.runAfterCurrentEvent(() -> attemptEnded(attempt, Outcome.INVALID_REQUEST, NO_LOAD_REPORT));
            return;
        }
        BackendConnection connection = pool.acquireIdle(loop.nowUs());
        try {
            if (connection == null && !pool.isSuperseded()) {
                connection = openConnection(pool);
            }
        } catch (IOException e) {
            LOG.warning("cannot open a connection to a backend", e.getMessage());
        }
        if (connection == null || !connection.send(attempt)) {
            loop.runAfterCurrentEvent(() -> attemptEnded(attempt, Outcome.CONNECT_FAILED, NO_LOAD_REPORT));
        }
    }

    private boolean clientMayHaveLeft(InFlightRequest request) {
        if (request.client() != null && !request.client().mayHaveLeft()) {
            return false;
        }
        LOG.info("an attempt is not sent, since its client may have left", request.describe(loop.nowUs()));
        return true;
    }

    /** Opens a new connection and adds it to the pool; returns null if the resource budget has no room for one. */
    private BackendConnection openConnection(ConnectionPool pool) throws IOException {
        if (!budget.hasRoomForBackend()) {
            directory.closeLongestIdle();
        }
        if (!budget.hasRoomForBackend()) {
            LOG.warning("no file descriptor or buffer memory left for another backend connection", null);
            return null;
        }
        BackendConnection connection = new BackendConnection(
                loop, pool, config.connectTimeoutUs(), config.settings().reportFields(), budget, this);
        budget.backendOpened();
        pool.add(connection);
        return connection;
    }

    /** Cancels an attempt; see {@link hopdrum.host.Host#cancelAttempt}. */
    void cancelAttempt(long requestId, int attemptNumber) {
        InFlightRequest request = requests.get(requestId);
        Attempt attempt = request == null ? null : request.attempt(attemptNumber);
        if (attempt != null && !attempt.isEnded()) {
            attempt.abandon();
            loop.runAfterCurrentEvent(() -> attemptEnded(attempt, Outcome.CANCELLED, NO_LOAD_REPORT));
        }
    }

    private void attemptTimedOut(Attempt attempt) {
        if (!attempt.isEnded()) {
            attempt.abandon();
            attemptEnded(attempt, Outcome.TIMED_OUT, NO_LOAD_REPORT);
        }
    }

    @Override
    public void forwardResponse(Attempt attempt, RingBuffer bytes, HttpReader response) {
        ClientConnection client = attempt.request().detachClient();
        if (client == null) {
            return;
        }
        attempt.markResponseForwarded();
        if (client.forwardResponse(bytes, response)) {
            tally.responseForwarded(response.status());
        } else {
            tally.requestAborted();
            client.responseNotForwarded();
        }
    }

    @Override
    public void attemptEnded(Attempt attempt, Outcome outcome, float[] loadReport) {
        if (!attempt.end(outcome)) {
            return;
        }
        InFlightRequest request = attempt.request();
        tally.attemptEnded(attempt.number(), outcome);
        if (outcome != Outcome.OK) {
            LOG.info("an attempt ended with outcome " + outcome, request.describe(loop.nowUs()));
        }
        request.handle()
                .attemptEnded(
                        attempt.number(),
                        outcome,
                        loop.nowUs() - attempt.startedAtUs(),
                        outcome == Outcome.OK || attempt.isResponseForwarded(),
                        0,
                        loadReport);
        requests.removeIfDone(request, loop.nowUs());
    }

    @Override
    public void connectionClosed(BackendConnection connection) {
        budget.backendClosed();
    }
}
