package hopdrum.frontdoor.connection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The requests in flight, by the ids that Policy uses for them. A request is removed when Policy has finished it. */
public final class InFlightRequests {
    private final Map<Long, InFlightRequest> byId = new HashMap<>();
    private final Set<String> traceIds = new HashSet<>(); // of the requests in byId
    private final ExecutedIds executedIds = new ExecutedIds();
    private long nextId = 1;

    /**
     * Adds a request. Returns null if another request with the same trace id is in flight, so that no client can take
     * over the request of another.
     *
     * @param client the client that waits for the response
     * @param traceId the request's trace id
     * @param receivedAtUs when the request was received, in microseconds of the event loop's clock
     * @param expiresAtUs when the client stops waiting, in microseconds of the event loop's clock
     * @param repeatable whether the request may run again at any time, wherever it has run before
     * @param forwardedByPartner whether a partner's front door has forwarded the request to this one
     * @return the request; null if the trace id is in use
     */
    public InFlightRequest add(
            ClientConnection client,
            String traceId,
            long receivedAtUs,
            long expiresAtUs,
            boolean repeatable,
            boolean forwardedByPartner) {
        if (!traceIds.add(traceId)) {
            return null;
        }
        InFlightRequest request = new InFlightRequest(
                nextId++, traceId, client, receivedAtUs, expiresAtUs, repeatable, forwardedByPartner);
        byId.put(request.id(), request);
        return request;
    }

    /** Whether a request with this trace id may have been executed a while ago and must not be executed again. */
    public boolean mustNotRunAgain(String traceId, long nowUs) {
        return executedIds.contains(traceId, nowUs);
    }

    /** The request with this id; null if it is not in flight. */
    public InFlightRequest get(long id) {
        return byId.get(id);
    }

    /** Removes the request if Policy has finished it. */
    public void removeIfDone(InFlightRequest request, long nowUs) {
        if (request.handle().isFinished()) {
            remove(request, nowUs);
        }
    }

    /** Removes the request, whether or not Policy has received it. Its id is remembered if it must not run again. */
    public void remove(InFlightRequest request, long nowUs) {
        if (byId.remove(request.id()) == null) {
            return;
        }
        traceIds.remove(request.traceId());
        if (request.mustNotRunAgain()) {
            executedIds.add(request.traceId(), nowUs);
        }
    }

    /** The number of requests in flight. */
    public int size() {
        return byId.size();
    }
}
