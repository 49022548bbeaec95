package hopdrum.frontdoor.connection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The requests in flight, by the ids that Policy uses for them. A request is removed when Policy has finished it. */
public final class InFlightRequests {
    private final Map<Long, InFlightRequest> byId = new HashMap<>();
    private final Set<String> traceIds = new HashSet<>(); // of the requests in byId
    private final AbandonedIds abandonedIds = new AbandonedIds();
    private long nextId = 1;

    /**
     * Adds a request. Returns null if another request with the same trace id is in flight, so that no client can take
     * over the request of another.
     *
     * @param client the client that waits for the response
     * @param traceId the request's trace id
     * @param receivedAtUs when the request was received, in microseconds of the event loop's clock
     * @param expiresAtUs when the client stops waiting, in microseconds of the event loop's clock
     * @param forwardedByPartner whether a partner's front door has forwarded the request to this one
     * @return the request; null if the trace id is in use
     */
    public InFlightRequest add(
            ClientConnection client, String traceId, long receivedAtUs, long expiresAtUs, boolean forwardedByPartner) {
        if (!traceIds.add(traceId)) {
            return null;
        }
        InFlightRequest request =
                new InFlightRequest(nextId++, traceId, client, receivedAtUs, expiresAtUs, forwardedByPartner);
        byId.put(request.id(), request);
        return request;
    }

    /** Whether a request with this trace id was left by its client and may have been executed. */
    public boolean mayHaveRunBefore(String traceId, long nowUs) {
        return abandonedIds.contains(traceId, nowUs);
    }

    /** The request with this id; null if it is not in flight. */
    public InFlightRequest get(long id) {
        return byId.get(id);
    }

    /** Notes that the client of a request has left, so that its id is not accepted again if it may have run. */
    public void abandoned(InFlightRequest request, long nowUs) {
        if (request.mayHaveRun()) {
            abandonedIds.add(request.traceId(), nowUs);
        }
    }

    /** Removes the request if Policy has finished it. */
    public void removeIfDone(InFlightRequest request) {
        if (request.handle().isFinished()) {
            remove(request);
        }
    }

    /** Removes the request, whether or not Policy has received it. */
    public void remove(InFlightRequest request) {
        if (byId.remove(request.id()) != null) {
            traceIds.remove(request.traceId());
        }
    }

    /** The number of requests in flight. */
    public int size() {
        return byId.size();
    }
}
