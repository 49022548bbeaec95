package hopdrum.fleet;

import hopdrum.fleet.log.FleetLog;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.View;
import hopdrum.fleet.view.Membership;
import hopdrum.fleet.view.ViewLease;
import hopdrum.host.QuotaLease;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Publishes the quota lease that the policy reads: which gateways share this operator's quotas, and until when this
 * gateway may claim its share. Each change publishes a new immutable lease. Leases are published under the fleet
 * member's lock; {@link #currentLease()} may be called from any thread.
 */
final class QuotaLeasePublisher {
    private static final long EXPIRED_US = Long.MIN_VALUE / 2; // far in the past

    private final String operator;
    private final FleetLog log;
    private final long loopOffsetUs;
    private volatile QuotaLease currentLease = new QuotaLease(EXPIRED_US, List.of());
    private String lastClaim = "";

    /**
     * Creates a publisher, whose first lease has expired.
     *
     * @param operator the name of this front door's operator
     * @param log the log for changes of the lease
     * @param loopOffsetUs the clock of the front door's event loop minus the machine's monotonic clock, microseconds
     */
    QuotaLeasePublisher(String operator, FleetLog log, long loopOffsetUs) {
        this.operator = operator;
        this.log = log;
        this.loopOffsetUs = loopOffsetUs;
    }

    /** Returns the latest lease; does not block. */
    QuotaLease currentLease() {
        return currentLease;
    }

    /** Logs and publishes a new lease if this gateway's claim has changed. */
    void publishIfChanged(Membership membership, long nowUs) {
        ViewLease lease = membership.viewConsensus().lease();
        long untilUs = membership.isInactive(nowUs) ? EXPIRED_US : lease.expiresAtUs(nowUs);
        List<BitSet> views = new ArrayList<>();
        int maxGateways = 0;
        for (View view : lease.liveViews(nowUs)) {
            BitSet gateways = new BitSet();
            for (Member member : view.members()) {
                if (member.operator().equals(operator)) {
                    gateways.set(member.gateway());
                }
            }
            maxGateways = Math.max(maxGateways, gateways.cardinality());
            views.add(gateways);
        }
        String claim = untilUs + "/" + maxGateways + "/" + views.size() + "/"
                + membership.viewConsensus().view().number();
        if (!claim.equals(lastClaim)) {
            lastClaim = claim;
            log.event("claim", "until_us", Math.max(0, untilUs), "of", maxGateways, "operator", operator);
            currentLease = new QuotaLease(untilUs + loopOffsetUs, List.copyOf(views));
        }
    }
}
