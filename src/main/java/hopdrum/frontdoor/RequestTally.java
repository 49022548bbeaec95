package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.ClientCloseReason;
import hopdrum.frontdoor.connection.InFlightRequests;
import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.host.Outcome;
import java.util.EnumMap;
import java.util.Map;

/** Counts requests and their outcomes, and logs a summary every 10 s unless there was nothing to count. */
final class RequestTally {
    private static final Log LOG = new Log("frontdoor");
    private static final long SUMMARY_INTERVAL_US = 10_000_000;
    private static final long BYTES_PER_KIB = 1 << 10;

    private final EventLoop loop;
    private final InFlightRequests requests;
    private final ResourceBudget budget;
    private int received;
    private int ok;
    private int rejected;
    private int aborted;
    private int disconnected;
    private int retries;
    private int unsentAttempts;
    private final Map<Outcome, Integer> attemptsByOutcome = new EnumMap<>(Outcome.class);
    private final Map<ClientCloseReason, Integer> closedConnections = new EnumMap<>(ClientCloseReason.class);

    RequestTally(EventLoop loop, InFlightRequests requests, ResourceBudget budget) {
        this.loop = loop;
        this.requests = requests;
        this.budget = budget;
    }

    /** Starts logging summaries periodically. */
    void start() {
        loop.scheduleAfter(SUMMARY_INTERVAL_US, this::logSummary);
    }

    void requestReceived() {
        received++;
    }

    void requestRejected() {
        rejected++;
    }

    void requestAborted() {
        aborted++;
    }

    void clientDisconnected() {
        disconnected++;
    }

    /** Counts an attempt that has ended; {@code number} is its index among the attempts of its request. */
    void attemptEnded(int number, Outcome outcome) {
        retries += number > 0 ? 1 : 0;
        attemptsByOutcome.merge(outcome, 1, Integer::sum);
    }

    /** Counts an attempt that was not sent because its client had left. */
    void attemptNotSent() {
        unsentAttempts++;
    }

    void clientConnectionClosed(ClientCloseReason reason) {
        closedConnections.merge(reason, 1, Integer::sum);
    }

    /** Counts a response of a backend or a partner by its status. */
    void responseForwarded(int status) {
        ok += status == 200 ? 1 : 0;
        rejected += status == 429 || status == 503 ? 1 : 0;
        aborted += status == 500 ? 1 : 0;
    }

    private void logSummary() {
        if (received + ok + rejected + aborted + disconnected != 0) {
            LOG.info(
                    "requests in the last 10 s",
                    "received=" + received + " ok=" + ok + " rejected=" + rejected + " aborted=" + aborted
                            + " disconnected=" + disconnected + "; now in_flight=" + requests.size() + " clients="
                            + budget.clientConnections() + " backends=" + budget.backendConnections() + " buffer_kib="
                            + budget.memory().usedBytes() / BYTES_PER_KIB);
            LOG.info(
                    "attempts in the last 10 s",
                    "retries=" + retries + " unsent=" + unsentAttempts + " outcomes=" + attemptsByOutcome
                            + "; client connections closed=" + closedConnections);
            received = 0;
            ok = 0;
            rejected = 0;
            aborted = 0;
            disconnected = 0;
            retries = 0;
            unsentAttempts = 0;
            attemptsByOutcome.clear();
            closedConnections.clear();
        }
        loop.scheduleAfter(SUMMARY_INTERVAL_US, this::logSummary);
    }
}
