package hopdrum.host;

import java.util.BitSet;
import java.util.List;

/**
 * The gateways that share the quotas of this tier's customers, as the fleet has agreed. Not modified after it is
 * published.
 *
 * @param untilUs the end of the lease on the clock of {@link Host#nowUs()}; in the past if this gateway holds no valid
 *     lease
 * @param views the agreed view and the earlier views on which other gateways may still act; each is a set of gateway
 *     numbers
 */
public record QuotaLease(long untilUs, List<BitSet> views) {
    /**
     * Returns the largest number of a customer's gateways that any of the views contains; at least 1.
     *
     * @param firstGateway the number of the customer's first gateway
     * @param gateways the number of consecutive gateways, modulo the size of the tier, that serve the customer
     * @param allGateways the number of gateways in the tier
     */
    public int maxGatewaysSharing(int firstGateway, int gateways, int allGateways) {
        int max = 1;
        for (BitSet view : views) {
            int count = 0;
            for (int i = 0; i < gateways; i++) {
                count += view.get((firstGateway + i) % allGateways) ? 1 : 0;
            }
            max = Math.max(max, count);
        }
        return max;
    }
}
