package hopdrum.host;

/** The owners of the shards that customers belong to, as the partners have agreed. Immutable and thread-safe. */
public interface ShardOwnership {
    /**
     * Returns the tier that may act for a customer.
     *
     * @param customer the customer's key
     * @param forwarded whether a partner's front door has forwarded the request to this one; such a request is not
     *     forwarded again, and the owner returned is never a partner
     * @param nowUs the current time, as {@link Host#nowUs()}
     */
    CustomerOwner owner(long customer, boolean forwarded, long nowUs);

    /**
     * Returns the microseconds for which this gateway's operator is known here to have owned the customer's shard
     * without a break.
     */
    long ownershipAgeUs(long customer, long nowUs);

    /**
     * A front door of a partner's tier.
     *
     * @param name the name of the front door and of its incarnation
     * @param site the site of the front door
     * @param address the numeric address and the port at which the front door takes requests
     */
    record PartnerEndpoint(String name, String site, String address) {}
}
