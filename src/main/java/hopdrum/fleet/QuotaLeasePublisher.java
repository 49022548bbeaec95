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
 * The quota lease that Policy reads: which gateways share this operator's quotas, and until when this one may claim its
 * share. Replaced, never changed, when that changes. Published under the fleet's lock; {@link #current()} may be read from any thread.
 */
final class QuotaLeasePublisher {
    private static final long NO_LEASE_US = Long.MIN_VALUE / 2; // in the past

    private final String operator;
    private final FleetLog log;
    private final long loopOffsetUs;
    private volatile QuotaLease current = new QuotaLease(NO_LEASE_US, List.of());
    private String lastClaim = "";

    /** @param loopOffsetUs what the front door's clock is ahead of this machine's monotonic one, microseconds */
    QuotaLeasePublisher(String operator, FleetLog log, long loopOffsetUs) {
        this.operator = operator;
        this.log = log;
        this.loopOffsetUs = loopOffsetUs;
    }

    /** The last lease; never waits. */
    QuotaLease current() {
        return current;
    }

    /** Publishes a new lease if what may be claimed has changed; that is logged first. */
    void publishIfChanged(Membership membership, long nowUs) {
        ViewLease lease = membership.viewConsensus().lease();
        long untilUs = membership.isInactive(nowUs) ? NO_LEASE_US : lease.expiresAtUs(nowUs);
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
            current = new QuotaLease(untilUs + loopOffsetUs, List.copyOf(views));
        }
    }
}
