package hopdrum.frontdoor.connection;

import hopdrum.policy.Request;
import java.util.ArrayList;
import java.util.List;

/** One RPC under way: its handle at Policy, the client that waits for it, its attempts. */
public final class InFlightRequest {
    public final long id;
    final String trace;
    public final List<Attempt> attempts = new ArrayList<>(1);
    public ClientConnection client; // null once it has its answer, or has left
    public Request handle;
    public long expiresAtUs; // the client waits no longer
    public boolean passedOn; // by another front door to here: it goes no further

    InFlightRequest(long id, String trace, ClientConnection client) {
        this.id = id;
        this.trace = trace;
        this.client = client;
    }
}
