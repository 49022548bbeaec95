package hopdrum.host;

/** What the decision module may ask of the front door that it runs in. Each call takes effect at nowUs(). */
public interface Host {
    long nowUs();

    /**
     * Sends an RPC to a backend; attempts of one RPC are numbered 0, 1, 2 ... in the order sent.
     *
     * @param timeOutUs after which nobody waits for its answer any more
     * @param beginWithinUs within which its first byte has to leave; one that cannot begin by then never ran
     */
    void startAttempt(long rpc, long backend, long timeOutUs, long beginWithinUs);

    void cancelAttempt(long rpc, int attempt);

    /** Final answer: trying again is harmless. A wait of 0 names no time to come back. */
    void reject(long rpc, long retryAfterUs);

    /** Final answer that promises nothing. */
    void abort(long rpc);

    void addToCounter(long name, double units, long timeToLiveUs);

    /** Sends a short message to another gateway; it may come late or never. */
    void sendToPeer(int gateway, byte[] message);

    void scheduleWakeUp(long delayUs);

    /** Who shares the quotas of this tier's customers, as a fleet has settled; null where there is no fleet. */
    default QuotaLease quotaLease() {
        return null;
    }

    /** How far zones are, as a fleet knows; null where there is no fleet, or its map is not to be trusted. */
    default ZoneLatencies zoneLatencies() {
        return null;
    }

    /**
     * Who may act for the customer of this RPC, as partners have settled. 0: this gateway, always so where there are none; above
     * 0: the tier of that number is to be asked; below: nobody that is known here, for about so many microseconds.
     */
    default long ownerTier(long id, long customer) {
        return 0;
    }

    /** How long this tier has been this customer's owner without a break, as far as is known; longer than any quota without partners. */
    default long ownershipAgeUs(long customer) {
        return Long.MAX_VALUE / 2;
    }

    /** Follows the list of backends, where it has to be asked for. */
    void pollEndpointList();
}
