package hopdrum.frontdoor.connection;

import hopdrum.policy.Request;
import java.util.ArrayList;
import java.util.List;

/**
 * A request in flight, with the client that waits for the response, Policy's handle of the request, and its attempts.
 */
public final class InFlightRequest {
    private final long id;
    private final String traceId;
    private final long receivedAtUs;
    private final long expiresAtUs;
    private final boolean repeatable;
    private final boolean forwardedByPartner;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private ClientConnection client; // null once the client has a response or has disconnected
    private Request handle; // null until Policy has received the request

    InFlightRequest(
            long id,
            String traceId,
            ClientConnection client,
            long receivedAtUs,
            long expiresAtUs,
            boolean repeatable,
            boolean forwardedByPartner) {
        this.id = id;
        this.traceId = traceId;
        this.client = client;
        this.receivedAtUs = receivedAtUs;
        this.expiresAtUs = expiresAtUs;
        this.repeatable = repeatable;
        this.forwardedByPartner = forwardedByPartner;
    }

    /** The id that Policy uses for the request. */
    public long id() {
        return id;
    }

    String traceId() {
        return traceId;
    }

    /**
     * Describes the request for a line of the log.
     *
     * @param nowUs the time, in microseconds of the event loop's clock
     */
    public String describe(long nowUs) {
        return "X-Trace-Id " + traceId + ", " + (nowUs - receivedAtUs) / 1000 + " ms after it was received, "
                + attempts.size() + " attempts";
    }

    /** When the client stops waiting for the response, in microseconds of the event loop's clock. */
    public long expiresAtUs() {
        return expiresAtUs;
    }

    /** Whether a partner's front door forwarded the request to this one; such a request is not forwarded again. */
    public boolean isForwardedByPartner() {
        return forwardedByPartner;
    }

    /** The client that waits for the response; null once the client has a response or has disconnected. */
    public ClientConnection client() {
        return client;
    }

    /** Detaches the client, which no longer waits for a response, and returns it; null if no client was waiting. */
    public ClientConnection detachClient() {
        ClientConnection detachedClient = client;
        client = null;
        return detachedClient;
    }

    /** Policy's handle of the request; null until Policy has received the request. */
    public Request handle() {
        return handle;
    }

    /** Sets the handle that Policy has returned for the request. */
    public void setHandle(Request policyHandle) {
        handle = policyHandle;
    }

    /**
     * Adds the next attempt.
     *
     * @param nowUs when the attempt starts, in microseconds of the event loop's clock
     * @param timeoutUs how long Policy waits for the response to the attempt, in microseconds
     * @param writeWithinUs how long the attempt may wait for its connection before it is written, in microseconds
     * @return the attempt
     */
    public Attempt addAttempt(long nowUs, long timeoutUs, long writeWithinUs) {
        Attempt attempt = new Attempt(this, attempts.size(), nowUs, timeoutUs, writeWithinUs);
        attempts.add(attempt);
        return attempt;
    }

    /** Whether a backend may have executed the request in an attempt so far, and none may execute it again. */
    boolean mustNotRunAgain() {
        return !repeatable && attempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    /** The attempt with this index; null if there is none. */
    public Attempt attempt(int number) {
        return number < attempts.size() ? attempts.get(number) : null;
    }
}
