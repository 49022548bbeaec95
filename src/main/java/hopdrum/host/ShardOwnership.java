package hopdrum.host;

/** Who owns the shards that customers fall into, as partners have settled. Immutable; any thread may read it. */
public interface ShardOwnership {
    /**
     * Who may act for a customer.
     *
     * @param customer the customer's key
     * @param forwarded whether a partner's front door has forwarded the request to here: then it goes no further, and the
     *     answer is never a partner
     * @param nowUs as {@link Host#nowUs()}
     */
    CustomerOwner owner(long customer, boolean forwarded, long nowUs);

    /** How long this gateway's operator has owned the customer's shard without a break, as far as is known here. */
    long ownershipAgeUs(long customer, long nowUs);

    /**
     * A front door of a partner's tier.
     *
     * @param name its own name, and its incarnation's
     * @param site where it stands
     * @param address a numeric address and a port, where it takes requests
     */
    record PartnerEndpoint(String name, String site, String address) {}
}
