package hopdrum.fleet;

import hopdrum.fleet.link.PeerConnections;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.View;
import hopdrum.fleet.view.Membership;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The periodic log lines of one member: its status and its latency map. Called under the fleet's lock. */
final class FleetStatusLog {
    private static final long STATUS_US = 10_000_000;
    private static final int MAP_PERIODS = 2;

    private final Member self;
    private final FleetLog log;
    private final long periodUs;
    private long statusUs;
    private long mapUs;

    FleetStatusLog(Member self, FleetLog log, long periodUs) {
        this.self = self;
        this.log = log;
        this.periodUs = periodUs;
    }

    /** The map from here, for the log: how far each site is, how sure that is and how it is known. */
    void logLatencyMapIfDue(Membership membership, long nowUs) {
        if (nowUs - mapUs < MAP_PERIODS * periodUs) {
            return;
        }
        mapUs = nowUs;
        TreeSet<String> sites = new TreeSet<>();
        membership.failureDetector().present().forEach(m -> sites.add(m.site()));
        Map<String, Object> ways = new TreeMap<>();
        membership
                .latency()
                .fromHere(sites, nowUs)
                .forEach((site, way) -> ways.put(
                        site,
                        List.of(
                                way.rttUs(),
                                Math.round(way.sure() * 1000) / 1000.0,
                                way.kind().name())));
        log.event("map", "site", self.site(), "ways", ways);
    }

    /** The view, who is alive and what was sent, every ten seconds. */
    void logStatusIfDue(Membership membership, PeerConnections connections, long nowUs) {
        if (nowUs - statusUs < STATUS_US) {
            return;
        }
        statusUs = nowUs;
        View view = membership.viewConsensus().view();
        long alive = membership.failureDetector().states().values().stream()
                .filter(s -> s == State.ALIVE)
                .count();
        log.event(
                "status",
                "era",
                view.era(),
                "number",
                view.number(),
                "in_view",
                view.has(self),
                "members",
                view.members().size(),
                "alive",
                alive + 1,
                "cut_off",
                membership.viewConsensus().leases().isCutOff(),
                "bytes_out",
                connections.bytesOut(),
                "messages_out",
                connections.messagesOut());
    }
}
