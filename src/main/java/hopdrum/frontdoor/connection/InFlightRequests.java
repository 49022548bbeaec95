package hopdrum.frontdoor.connection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The RPCs under way, by the numbers that Policy knows them by. An entry goes when Policy says that it is over. */
public final class InFlightRequests {
    private final Map<Long, InFlightRequest> open = new HashMap<>();
    private final Set<String> traces = new HashSet<>(); // theirs
    private long next = 1;

    /** Null while another with that trace id is under way: guards against a client that takes over another's. */
    public InFlightRequest open(ClientConnection client, String trace) {
        if (!traces.add(trace)) {
            return null;
        }
        InFlightRequest rpc = new InFlightRequest(next++, trace, client);
        open.put(rpc.id, rpc);
        return rpc;
    }

    public InFlightRequest get(long id) {
        return open.get(id);
    }

    public void closeIfOver(InFlightRequest rpc) {
        if (rpc.handle.isFinished()) {
            drop(rpc);
        }
    }

    /** The number was given out and Policy never took the RPC. */
    public void drop(InFlightRequest rpc) {
        if (open.remove(rpc.id) != null) {
            traces.remove(rpc.trace);
        }
    }

    public int size() {
        return open.size();
    }
}
