package hopdrum.host;

/** Who owns the shards that customers fall into, as partners have settled; handed out whole and never changed. */
public interface ShardOwnership {
    /**
     * 0: this gateway may act for the customer; above 0: the tier of that number is to be asked; below: nobody that is known
     * here may, for about so many microseconds.
     *
     * @param passedOn whether another front door has passed its RPC on to here: then it goes no further, and it is never above 0
     * @param nowUs as Host.nowUs()
     */
    long owner(long customer, boolean passedOn, long nowUs);

    /** How long this gateway's operator has owned the customer's shard without a break, as far as this gateway knows. */
    long ownershipAgeUs(long customer, long nowUs);

    /**
     * A front door of a tier that is to be asked.
     *
     * @param name its own, and its start's
     * @param site where it stands
     * @param address a numeric address and a port, where it takes RPCs
     */
    record PartnerEndpoint(String name, String site, String address) {}
}
