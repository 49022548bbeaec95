package hopdrum.host;

import java.util.BitSet;
import java.util.List;

/**
 * Which gateways share the quotas of this tier's customers, as settled; handed out whole and never changed.
 *
 * @param untilUs the end of what this gateway may act on, in Host.nowUs(); in the past where it may act on nothing
 * @param views the settled view and those before it of which others may still act: gateways by number
 */
public record QuotaLease(long untilUs, List<BitSet> views) {
    /** The most gateways of so many in a row from first, counted round, that any of the views has. */
    public int maxGatewaysSharing(int first, int gateways, int all) {
        int most = 1;
        for (BitSet view : views) {
            int count = 0;
            for (int i = 0; i < gateways; i++) {
                count += view.get((first + i) % all) ? 1 : 0;
            }
            most = Math.max(most, count);
        }
        return most;
    }
}
