package hopdrum.fleet;

import hopdrum.fleet.link.PeerConnections;
import hopdrum.fleet.log.FleetLog;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.View;
import hopdrum.fleet.view.Membership;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Writes the periodic log lines of a member: its status and its latency map. Called under the fleet member's lock. */
final class FleetStatusLog {
    private static final long STATUS_INTERVAL_US = 10_000_000;
    private static final int LATENCY_MAP_INTERVAL_PERIODS = 2;

    private final Member self;
    private final FleetLog log;
    private final long probePeriodUs;
    private long statusLoggedAtUs;
    private long mapLoggedAtUs;

    FleetStatusLog(Member self, FleetLog log, long probePeriodUs) {
        this.self = self;
        this.log = log;
        this.probePeriodUs = probePeriodUs;
    }

    /** Logs the latency estimates to all sites of present members, every two probe periods. */
    void logLatencyMapIfDue(Membership membership, long nowUs) {
        if (nowUs - mapLoggedAtUs < LATENCY_MAP_INTERVAL_PERIODS * probePeriodUs) {
            return;
        }
        mapLoggedAtUs = nowUs;
        Set<String> sites = new TreeSet<>();
        membership.failureDetector().presentMembers().forEach(member -> sites.add(member.site()));
        Map<String, Object> estimates = new TreeMap<>();
        membership
                .latencyMap()
                .estimatesFromOwnSite(sites, nowUs)
                .forEach((site, estimate) -> estimates.put(
                        site,
                        List.of(
                                estimate.rttUs(),
                                Math.round(estimate.confidence() * 1000) / 1000.0,
                                estimate.kind().name())));
        log.event("map", "site", self.site(), "ways", estimates);
    }

    /** Logs the view, the number of live members and the traffic sent, every ten seconds. */
    void logStatusIfDue(Membership membership, PeerConnections connections, long nowUs) {
        if (nowUs - statusLoggedAtUs < STATUS_INTERVAL_US) {
            return;
        }
        statusLoggedAtUs = nowUs;
        View view = membership.viewConsensus().view();
        long alivePeers = membership.failureDetector().states().values().stream()
                .filter(state -> state == State.ALIVE)
                .count();
        log.event(
                "status",
                "era",
                view.era(),
                "number",
                view.number(),
                "in_view",
                view.contains(self),
                "members",
                view.members().size(),
                "alive",
                alivePeers + 1,
                "cut_off",
                membership.viewConsensus().lease().isCutOff(),
                "bytes_out",
                connections.bytesSent(),
                "messages_out",
                connections.messagesSent());
    }
}
