package hopdrum.host;

/**
 * The operations that the front door offers to the policy. The policy calls them on its one thread while it handles an
 * event; each call takes effect at {@link #nowUs()}.
 */
public interface Host {
    /**
     * Returns the current time in microseconds since an origin of the host's choice; constant while an event is
     * handled.
     */
    long nowUs();

    /**
     * Forwards a request to a backend. The attempts of a request are numbered 0, 1, 2 ... in the order in which they
     * start.
     *
     * @param request the front door's number of the request
     * @param backend the backend's number, {@link Endpoint#backendId()}
     * @param timeOutUs microseconds after which the attempt's answer is no longer awaited
     * @param beginWithinUs microseconds within which the attempt's first byte has to be sent; an attempt that cannot
     *     begin by then has not run
     */
    void startAttempt(long request, long backend, long timeOutUs, long beginWithinUs);

    /** Cancels an attempt; its end is still reported. */
    void cancelAttempt(long request, int attempt);

    /**
     * Gives the final answer that the request was rejected: a retry by the client is harmless.
     *
     * @param retryAfterUs microseconds after which the client should retry; 0 to name no time
     */
    void reject(long request, long retryAfterUs);

    /** Gives the final answer that the request was aborted: it may have run. */
    void abort(long request);

    /**
     * Calls the counter service, which adds units to the total of a name and answers with the new total.
     *
     * @param units the units to add; may be negative
     * @param timeToLiveUs how long the counter keeps the name, in microseconds
     */
    void addToCounter(long name, double units, long timeToLiveUs);

    /** Sends a short message to another gateway by its number; the message may arrive late or never. */
    void sendToPeer(int gateway, byte[] message);

    /** Schedules the one wake-up after a delay in microseconds; replaces a wake-up that was scheduled before. */
    void scheduleWakeUp(long delayUs);

    /**
     * Returns the lease on the quotas of this tier's customers, as the fleet has agreed; null where there is no fleet.
     */
    default QuotaLease quotaLease() {
        return null;
    }

    /**
     * Returns the network latencies to the zones, as the fleet has measured them; null where there is no fleet or its
     * latency map cannot be trusted.
     */
    default ZoneLatencies zoneLatencies() {
        return null;
    }

    /** Returns the tier that may act for the customer of a request, as the partners have agreed. */
    default CustomerOwner customerOwner(long request, long customer) {
        return CustomerOwner.THIS_TIER;
    }

    /**
     * Returns the microseconds for which this tier is known to have owned the customer without a break; where there are
     * no partners, longer than any quota takes to refill.
     */
    default long ownershipAgeUs(long customer) {
        return Long.MAX_VALUE / 2;
    }

    /** Requests the endpoint list, where discovery does not push it. */
    void pollEndpointList();
}
