package hopdrum.host;

/**
 * A plan's settings: the quota of each of its customers, over all gateways; a figure of 0 is no such limit.
 *
 * @param rate units a second
 * @param burst units that may be used at once
 * @param concurrencyLimit requests that may be open at once
 * @param ceilingRate units a second that a customer must never exceed, whatever fails
 * @param ceilingBurst units at once, as the ceiling's rate
 * @param ceilingSlack units that the ceiling allows over its burst and rate
 */
public record Plan(
        double rate,
        double burst,
        int concurrencyLimit,
        double ceilingRate,
        double ceilingBurst,
        double ceilingSlack) {}
