package hopdrum.host;

/**
 * The tier that may act for a customer, as the partners have agreed: this tier, a partner's tier, or none that is known
 * here.
 *
 * @param tier the number of the partner's tier that requests are forwarded to; 0 for this tier and for an unknown owner
 * @param retryAfterUs for an unknown owner, the microseconds after which the owner may be known; otherwise 0
 */
public record CustomerOwner(int tier, long retryAfterUs) {
    /** The owner is this tier; always the case where there are no partners. */
    public static final CustomerOwner THIS_TIER = new CustomerOwner(0, 0);

    // The owner is looked up for each request; cached instances avoid garbage in a federation of usual size.
    private static final int CACHED_TIERS = 16;
    private static final CustomerOwner[] PARTNER_OWNERS = new CustomerOwner[CACHED_TIERS];

    static {
        for (int tier = 0; tier < CACHED_TIERS; tier++) {
            PARTNER_OWNERS[tier] = new CustomerOwner(tier, 0);
        }
    }

    /**
     * Returns the owner for a partner's tier, to whose front doors requests are forwarded.
     *
     * @param tier the number of the partner's tier, above 0
     */
    public static CustomerOwner partner(int tier) {
        return tier < CACHED_TIERS ? PARTNER_OWNERS[tier] : new CustomerOwner(tier, 0);
    }

    /**
     * Returns an unknown owner: no tier that is known here may act for the customer.
     *
     * @param retryAfterUs microseconds after which the owner may be known, above 0
     */
    public static CustomerOwner unknown(long retryAfterUs) {
        return new CustomerOwner(0, retryAfterUs);
    }

    /** Returns true if requests are to be forwarded to a partner's front doors. */
    public boolean isPartner() {
        return tier > 0;
    }
}
