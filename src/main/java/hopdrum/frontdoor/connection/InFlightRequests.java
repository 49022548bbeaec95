package hopdrum.frontdoor.connection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The requests in flight by the ids that Policy knows them by. An entry is removed when Policy is done with it. */
public final class InFlightRequests {
    private final Map<Long, InFlightRequest> byId = new HashMap<>();
    private final Set<String> traceIds = new HashSet<>(); // of the requests in byId
    private long nextId = 1;

    /**
     * Adds a request. Returns null while another one with that trace id is in flight, so that no client can take over
     * another's request.
     */
    public InFlightRequest add(ClientConnection client, String traceId, long expiresAtUs, boolean forwardedByPartner) {
        if (!traceIds.add(traceId)) {
            return null;
        }
        InFlightRequest request = new InFlightRequest(nextId++, traceId, client, expiresAtUs, forwardedByPartner);
        byId.put(request.id(), request);
        return request;
    }

    /** The request of that id; null if it is not in flight. */
    public InFlightRequest get(long id) {
        return byId.get(id);
    }

    /** Removes the request if Policy is done with it. */
    public void removeIfDone(InFlightRequest request) {
        if (request.handle().isFinished()) {
            remove(request);
        }
    }

    /** Removes the request, also one that Policy never took. */
    public void remove(InFlightRequest request) {
        if (byId.remove(request.id()) != null) {
            traceIds.remove(request.traceId());
        }
    }

    /** How many requests are in flight. */
    public int size() {
        return byId.size();
    }
}
