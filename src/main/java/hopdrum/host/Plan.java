package hopdrum.host;

/** One plan's row: the quota of each of its customers, over all gateways; a figure of 0 is no such limit. */
public record Plan(
        double rate,
        double burst,
        int concurrencyLimit,
        double ceilingRate,
        double ceilingBurst,
        double ceilingSlack) {}
