package hopdrum.fleet.view;

import hopdrum.fleet.latency.LatencyMap;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import java.util.List;

/**
 * Measures and shares latencies. Once per period, latency readings are exchanged with peers at the sites that were
 * measured longest ago.
 */
final class LatencySharing {
    private static final int PEERS_PER_PERIOD = 3;

    private final MemberContext context;
    private final FailureDetector failureDetector;
    private final LatencyMap map;
    private long nextExchangeUs;
    private long lastTickUs;

    LatencySharing(MemberContext context, FailureDetector failureDetector, LatencyMap map) {
        this.context = context;
        this.failureDetector = failureDetector;
        this.map = map;
    }

    /**
     * Discards outstanding probes if more than a period has passed since the last call: a pause of this process
     * invalidates their measurements. Called in each tick, even while this member is inactive.
     */
    void discardProbesAfterPause(long nowUs) {
        if (nowUs - lastTickUs > context.timing().probePeriodUs()) {
            map.discardOutstandingProbes();
        }
        lastTickUs = nowUs;
    }

    /** Exchanges readings with up to three peers at different sites, once per period. */
    void tick(long nowUs) {
        if (nowUs < nextExchangeUs) {
            return;
        }
        nextExchangeUs = nowUs + context.timing().probePeriodUs();
        List<Member> candidates = failureDetector.presentMembers();
        candidates.removeIf(member -> member.isSameStart(context.self()));
        RandomOrder.shuffle(candidates, context.random());
        for (int i = 0; i < PEERS_PER_PERIOD && !candidates.isEmpty(); i++) {
            Member peer = measuredLongestAgo(candidates);
            candidates.removeIf(member -> member.site().equals(peer.site()));
            long sequence = map.startProbe(peer, nowUs);
            context.sender()
                    .send(peer.address(), new Message.LatencyExchange(sequence, false, map.readingsToShare(nowUs)));
        }
    }

    private Member measuredLongestAgo(List<Member> candidates) {
        Member oldest = candidates.get(0);
        for (Member candidate : candidates) {
            if (map.lastProbeAtUs(candidate.site()) < map.lastProbeAtUs(oldest.site())) {
                oldest = candidate;
            }
        }
        return oldest;
    }

    void onExchange(Member from, Message.LatencyExchange exchange, long nowUs) {
        map.merge(exchange.readings(), nowUs);
        if (!exchange.answer()) {
            context.sender()
                    .send(
                            from.address(),
                            new Message.LatencyExchange(exchange.seq(), true, map.readingsToShare(nowUs)));
        } else if (nowUs - lastTickUs < context.timing().probePeriodUs()) {
            // After a longer gap between ticks, the measured round trip may include a pause of this process.
            map.completeProbe(from, exchange.seq(), nowUs);
        }
    }
}
