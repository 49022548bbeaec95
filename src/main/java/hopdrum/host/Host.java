package hopdrum.host;

/**
 * What the decision module may ask of the front door that it runs in. Called on the module's one thread, from inside the
 * module's events; each call takes effect at {@link #nowUs()}.
 */
public interface Host {
    /** The clock, in microseconds from an origin of the host's own; it stands still during an event. */
    long nowUs();

    /**
     * Forwards a request to a backend; attempts of one request are numbered 0, 1, 2 ... in the order started.
     *
     * @param request the front door's number of the request
     * @param backend as listed, {@link Endpoint#backend()}
     * @param timeOutUs after which nobody waits for its answer any more
     * @param beginWithinUs within which its first byte has to leave; one that cannot begin by then never ran
     */
    void startAttempt(long request, long backend, long timeOutUs, long beginWithinUs);

    /** Gives up on an attempt; its end is still reported. */
    void cancelAttempt(long request, int attempt);

    /** Final answer: the client's retry is harmless. A time of 0 names no time to come back. */
    void reject(long request, long retryAfterUs);

    /** Final answer that promises nothing: the request may have run. */
    void abort(long request);

    /**
     * Calls the counter service: adds units, which may be negative, to a name, and reads the total.
     *
     * @param timeToLiveUs how long the counter keeps the name
     */
    void addToCounter(long name, double units, long timeToLiveUs);

    /** Sends a short message to another gateway, by its number; it may come late or never. */
    void sendToPeer(int gateway, byte[] message);

    /** Asks for one wake-up after so many microseconds; it takes the place of one asked for earlier. */
    void scheduleWakeUp(long delayUs);

    /** Who shares the quotas of this tier's customers, as a fleet has settled; null where there is no fleet. */
    default QuotaLease quotaLease() {
        return null;
    }

    /** How far zones are, as a fleet has measured; null where there is no fleet, or its map is not to be trusted. */
    default ZoneLatencies zoneLatencies() {
        return null;
    }

    /** Who may act for the customer of this request, as partners have settled. */
    default CustomerOwner customerOwner(long request, long customer) {
        return CustomerOwner.THIS_TIER;
    }

    /**
     * How long this tier has been this customer's owner without a break, in microseconds, as far as is known; longer than
     * any quota takes to refill where there are no partners.
     */
    default long ownershipAgeUs(long customer) {
        return Long.MAX_VALUE / 2;
    }

    /** Asks for the endpoint list, where it has to be asked for. */
    void pollEndpointList();
}
