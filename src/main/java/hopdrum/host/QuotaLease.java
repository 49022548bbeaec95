package hopdrum.host;

import java.util.BitSet;
import java.util.List;

/**
 * Which gateways share the quotas of this tier's customers, as settled; never changed once it is handed out.
 *
 * @param untilUs the end of the lease, in {@link Host#nowUs()}; in the past where this gateway may act on nothing
 * @param views the settled view and those before it of which others may still act: gateways by number
 */
public record QuotaLease(long untilUs, List<BitSet> views) {
    /**
     * The most gateways of a customer that any of the views has.
     *
     * @param firstGateway the customer's first gateway
     * @param gateways how many in a row, counted round, serve it
     * @param allGateways how many there are in the tier
     */
    public int maxGatewaysSharing(int firstGateway, int gateways, int allGateways) {
        int most = 1;
        for (BitSet view : views) {
            int count = 0;
            for (int i = 0; i < gateways; i++) {
                count += view.get((firstGateway + i) % allGateways) ? 1 : 0;
            }
            most = Math.max(most, count);
        }
        return most;
    }
}
