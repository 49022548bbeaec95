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
 * Sends attempts to backends and notifies Policy of their ends. Policy is never notified from inside one of its own
 * calls: an attempt that ends there is reported by {@link EventLoop#soon}.
 */
final class AttemptDispatcher implements BackendConnection.Listener {
    private static final Log LOG = new Log("frontdoor");
    private static final float[] NO_REPORT = {};

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

    /** See {@link hopdrum.host.Host#startAttempt}. */
    void startAttempt(long requestId, long backendId, long timeoutUs, long writeWithinUs) {
        InFlightRequest request = requests.get(requestId);
        Attempt attempt = request.addAttempt(loop.nowUs(), timeoutUs, writeWithinUs);
        attempt.armTimeout(loop, () -> attemptTimedOut(attempt));
        ConnectionPool pool = directory.get(backendId);
        if (request.client() == null || pool == null) {
            loop.runAfterCurrentEvent(() -> attemptEnded(attempt, Outcome.INVALID_REQUEST, NO_REPORT));
            return;
        }
        BackendConnection connection = pool.acquireIdle(loop.nowUs());
        try {
            if (connection == null) {
                connection = connect(pool);
            }
        } catch (IOException e) {
            LOG.warning("no connection to a backend", e.getMessage());
        }
        if (connection == null || !connection.send(attempt)) {
            loop.runAfterCurrentEvent(() -> attemptEnded(attempt, Outcome.CONNECT_FAILED, NO_REPORT));
        }
    }

    /** A new connection of the pool's; null if the limits leave no room for one. */
    private BackendConnection connect(ConnectionPool pool) throws IOException {
        if (!budget.hasRoomForBackend()) {
            directory.closeLongestIdle();
        }
        if (!budget.hasRoomForBackend()) {
            LOG.warning("no descriptor or memory left for more connections to backends", null);
            return null;
        }
        BackendConnection connection = new BackendConnection(
                loop, pool, config.connectTimeoutUs(), config.settings().reportFields(), budget, this);
        budget.backendOpened();
        pool.add(connection);
        return connection;
    }

    /** See {@link hopdrum.host.Host#cancelAttempt}. */
    void cancelAttempt(long requestId, int number) {
        InFlightRequest request = requests.get(requestId);
        Attempt attempt = request == null ? null : request.attempt(number);
        if (attempt != null && !attempt.isEnded()) {
            attempt.abandon();
            loop.runAfterCurrentEvent(() -> attemptEnded(attempt, Outcome.CANCELLED, NO_REPORT));
        }
    }

    private void attemptTimedOut(Attempt attempt) {
        if (!attempt.isEnded()) {
            attempt.abandon();
            attemptEnded(attempt, Outcome.TIMED_OUT, NO_REPORT);
        }
    }

    @Override
    public void forwardResponse(Attempt attempt, RingBuffer bytes, HttpReader response) {
        ClientConnection client = attempt.request().detachClient();
        if (client != null) {
            attempt.markResponseForwarded();
            tally.responseForwarded(response.status());
            if (!client.forwardResponse(bytes, response)) {
                client.close(); // it has not read the responses before this one
            }
        }
    }

    @Override
    public void attemptEnded(Attempt attempt, Outcome outcome, float[] report) {
        if (!attempt.end()) {
            return;
        }
        InFlightRequest request = attempt.request();
        request.handle()
                .attemptEnded(
                        attempt.number(),
                        outcome,
                        loop.nowUs() - attempt.startedAtUs(),
                        outcome == Outcome.OK || attempt.isResponseForwarded(),
                        0,
                        report);
        requests.removeIfDone(request);
    }

    @Override
    public void connectionClosed(BackendConnection connection) {
        budget.backendClosed();
    }
}
