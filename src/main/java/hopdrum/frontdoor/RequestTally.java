package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.InFlightRequests;
import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;

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
            received = 0;
            ok = 0;
            rejected = 0;
            aborted = 0;
            disconnected = 0;
        }
        loop.scheduleAfter(SUMMARY_INTERVAL_US, this::logSummary);
    }
}
