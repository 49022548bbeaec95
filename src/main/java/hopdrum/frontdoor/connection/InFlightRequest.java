package hopdrum.frontdoor.connection;

import hopdrum.policy.Request;
import java.util.ArrayList;
import java.util.List;

/** A request in flight: the client that waits for its response, its handle at Policy, and its attempts. */
public final class InFlightRequest {
    private final long id;
    private final String traceId;
    private final long expiresAtUs;
    private final boolean forwardedByPartner;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private ClientConnection client; // null once it has its response, or has disconnected
    private Request handle; // null until Policy has taken the request

    InFlightRequest(long id, String traceId, ClientConnection client, long expiresAtUs, boolean forwardedByPartner) {
        this.id = id;
        this.traceId = traceId;
        this.client = client;
        this.expiresAtUs = expiresAtUs;
        this.forwardedByPartner = forwardedByPartner;
    }

    /** The number by which Policy knows the request. */
    public long id() {
        return id;
    }

    String traceId() {
        return traceId;
    }

    /** When the client stops waiting for the response. */
    public long expiresAtUs() {
        return expiresAtUs;
    }

    /** Whether a partner's front door forwarded the request to this one; such a request is not forwarded again. */
    public boolean isForwardedByPartner() {
        return forwardedByPartner;
    }

    /** The client that waits for the response; null once it has one, or has disconnected. */
    public ClientConnection client() {
        return client;
    }

    /** Ends the client's wait: returns the client that was waiting, null if there was none. */
    public ClientConnection detachClient() {
        ClientConnection detached = client;
        client = null;
        return detached;
    }

    /** Policy's handle of the request; null until Policy has taken it. */
    public Request handle() {
        return handle;
    }

    /** Stores the handle that Policy gave out for the request. */
    public void setHandle(Request policyHandle) {
        handle = policyHandle;
    }

    /**
     * Adds the next attempt.
     *
     * @param timeoutUs how long Policy waits for the attempt's response
     * @param writeWithinUs how long the attempt may wait for its connection before it is written
     */
    public Attempt addAttempt(long nowUs, long timeoutUs, long writeWithinUs) {
        Attempt attempt = new Attempt(this, attempts.size(), nowUs, timeoutUs, writeWithinUs);
        attempts.add(attempt);
        return attempt;
    }

    /** The attempt of that number; null if there is none. */
    public Attempt attempt(int number) {
        return number < attempts.size() ? attempts.get(number) : null;
    }
}
