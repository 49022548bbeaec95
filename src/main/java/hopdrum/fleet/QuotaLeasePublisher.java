package hopdrum.fleet;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.View;
import hopdrum.fleet.view.Leases;
import hopdrum.fleet.view.Membership;
import hopdrum.host.QuotaLease;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * The snapshot that Policy reads of who shares this operator's quotas: replaced, never changed, when what this gateway
 * may claim changes. Published under the fleet's lock; {@link #current()} may be read from any thread.
 */
final class QuotaLeasePublisher {
    private final String operator;
    private final FleetLog log;
    private final long loopOffsetUs;
    private volatile QuotaLease sharers = new QuotaLease(Long.MIN_VALUE / 2, List.of());
    private String lastClaim = "";

    /** @param loopOffsetUs what the front door's clock is ahead of this machine's monotonic one, microseconds */
    QuotaLeasePublisher(String operator, FleetLog log, long loopOffsetUs) {
        this.operator = operator;
        this.log = log;
        this.loopOffsetUs = loopOffsetUs;
    }

    /** The last snapshot; never waits. */
    QuotaLease current() {
        return sharers;
    }

    /** A new snapshot, if what may be claimed has changed; what it lets this gateway claim is logged first. */
    void publishIfChanged(Membership membership, long nowUs) {
        Leases leases = membership.viewConsensus().leases();
        long until = membership.isInactive(nowUs) ? Long.MIN_VALUE / 2 : leases.expiresAtUs(nowUs);
        List<BitSet> views = new ArrayList<>();
        int most = 0;
        for (View view : leases.liveViews(nowUs)) {
            BitSet gateways = new BitSet();
            for (Member m : view.members()) {
                if (m.operator().equals(operator)) {
                    gateways.set(m.gateway());
                }
            }
            most = Math.max(most, gateways.cardinality());
            views.add(gateways);
        }
        String claim = until + "/" + most + "/" + views.size() + "/"
                + membership.viewConsensus().view().number();
        if (!claim.equals(lastClaim)) {
            lastClaim = claim;
            log.event("claim", "until_us", Math.max(0, until), "of", most, "operator", operator);
            sharers = new QuotaLease(until + loopOffsetUs, List.copyOf(views));
        }
    }
}
