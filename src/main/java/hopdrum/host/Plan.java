package hopdrum.host;

/**
 * The settings of a plan: the quota of each of its customers over all gateways. A value of 0 means that there is no
 * such limit.
 *
 * @param rate units per second
 * @param burst units that may be used at once
 * @param concurrencyLimit requests that may be open at once
 * @param ceilingRate units per second that a customer must never exceed, whatever fails
 * @param ceilingBurst units that a customer must never exceed at once, whatever fails
 * @param ceilingSlack units that the ceiling allows beyond its burst and its rate
 */
public record Plan(
        double rate,
        double burst,
        int concurrencyLimit,
        double ceilingRate,
        double ceilingBurst,
        double ceilingSlack) {}
