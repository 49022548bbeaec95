package hopdrum.host;

/**
 * Who may act for a customer, as partners have settled: this tier, a partner's tier, or nobody that is known here.
 *
 * @param tier the number of the partner's tier that is to be asked; 0 for this tier, and where nobody is known
 * @param retryAfterUs where nobody is known, microseconds after which somebody may be; else 0
 */
public record CustomerOwner(int tier, long retryAfterUs) {
    /** This gateway may act for the customer; always so where there are no partners. */
    public static final CustomerOwner THIS_TIER = new CustomerOwner(0, 0);

    private static final int CACHED = 16; // owners are looked up for each request: no garbage in a usual federation
    private static final CustomerOwner[] PARTNERS = new CustomerOwner[CACHED];

    static {
        for (int tier = 0; tier < CACHED; tier++) {
            PARTNERS[tier] = new CustomerOwner(tier, 0);
        }
    }

    /** A partner's front doors are to be asked; its tier's number is above 0. */
    public static CustomerOwner partner(int tier) {
        return tier < CACHED ? PARTNERS[tier] : new CustomerOwner(tier, 0);
    }

    /** Nobody that is known here may act for the customer, for about so many microseconds; above 0. */
    public static CustomerOwner unknown(long retryAfterUs) {
        return new CustomerOwner(0, retryAfterUs);
    }

    /** True if a partner's front doors are to be asked. */
    public boolean isPartner() {
        return tier > 0;
    }
}
