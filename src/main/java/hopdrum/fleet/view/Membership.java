package hopdrum.fleet.view;

import hopdrum.fleet.latency.LatencyMap;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.store.Store.DurableState;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One member's part in its fleet: what peers say goes to who decides on it. Not thread-safe: its owner calls it under
 * one lock, or in virtual time. Times are microseconds of one monotonic clock.
 */
public final class Membership {
    private static final int LATENCY_PEERS = 3;
    private static final int OUT_PERIODS = 20; // before one whose name is taken tries again

    private final Member self;
    private final FleetTiming timing;
    private final SplittableRandom random;
    private final DecisionLog log;
    private final FailureDetector failureDetector;
    private final ViewConsensus viewConsensus;
    private final LatencyMap latency;
    private final MessageSender out;
    private final ShardProtocol partners; // null where nothing is divided
    private long nextLatencyUs;
    private long tickedUs;
    private long outUntilUs = Long.MIN_VALUE / 2;
    private boolean left;

    /** @param partners what operators split; null where they split nothing */
    public Membership(
            Member self,
            List<String> seeds,
            List<String> founders,
            DurableState kept,
            FleetTiming timing,
            SplittableRandom random,
            MessageSender out,
            DurableStateWriter keeper,
            ShardProtocol partners,
            DecisionLog log,
            long nowUs) {
        this.self = self;
        this.timing = timing;
        this.random = random;
        this.log = log;
        this.out = out;
        latency = new LatencyMap(self, timing.periodUs());
        failureDetector = new FailureDetector(
                new MemberContext(self, timing, random, out, log), seeds, latency::addSample, nowUs);
        this.partners = partners;
        if (partners != null) {
            partners.setFailureDetector(failureDetector);
        }
        viewConsensus = new ViewConsensus(
                self,
                founders,
                kept,
                timing,
                random,
                out,
                failureDetector,
                keeper,
                partners == null ? ShardProtocol.NONE : partners,
                log,
                nowUs);
    }

    public FailureDetector failureDetector() {
        return failureDetector;
    }

    public LatencyMap latency() {
        return latency;
    }

    public ViewConsensus viewConsensus() {
        return viewConsensus;
    }

    /** Its name is another's, or it has left: it acts on nothing. */
    public boolean isOut(long nowUs) {
        return left || viewConsensus.isSuperseded() || nowUs < outUntilUs;
    }

    public void tick(long nowUs) {
        if (nowUs - tickedUs > timing.periodUs()) {
            latency.discardOutstandingProbes();
        }
        tickedUs = nowUs;
        if (!isOut(nowUs)) {
            failureDetector.tick(nowUs);
            viewConsensus.tick(nowUs);
            shareLatency(nowUs);
            if (partners != null) {
                partners.tick(nowUs);
            }
        }
    }

    /** Each period three peers are asked and told, of the sites that this member has looked at longest ago. */
    private void shareLatency(long nowUs) {
        if (nowUs < nextLatencyUs) {
            return;
        }
        nextLatencyUs = nowUs + timing.periodUs();
        List<Member> peers = failureDetector.present();
        peers.removeIf(m -> m.is(self));
        for (int i = peers.size() - 1; i > 0; i--) {
            Collections.swap(peers, i, random.nextInt(i + 1));
        }
        for (int i = 0; i < LATENCY_PEERS && !peers.isEmpty(); i++) {
            Member peer = peers.get(0);
            for (Member other : peers) {
                if (latency.lastProbeUs(other.site()) < latency.lastProbeUs(peer.site())) {
                    peer = other;
                }
            }
            String site = peer.site();
            peers.removeIf(m -> m.site().equals(site));
            out.send(
                    peer.address(),
                    new Message.LatencyExchange(
                            latency.startProbe(peer, nowUs), false, latency.readingsToShare(nowUs)));
        }
    }

    public void leave(long nowUs) {
        if (!isOut(nowUs)) {
            failureDetector.leave();
            log.event("leaves");
        }
        left = true;
    }

    public void heard(Member from, Message message, long nowUs) {
        if (isOut(nowUs)) {
            return;
        }
        if (message instanceof Message.Ping m) {
            failureDetector.onPing(from, m, nowUs);
            has(from, m.era(), m.number(), nowUs);
        } else if (message instanceof Message.Ack m) {
            failureDetector.onAck(from, m, nowUs);
            has(from, m.era(), m.number(), nowUs);
        } else if (message instanceof Message.PingRequest m) {
            failureDetector.onPingRequest(from, m, nowUs);
        } else if (message instanceof Message.LatencyExchange m) {
            latency.merge(m.readings(), nowUs);
            if (m.answer() && nowUs - tickedUs < timing.periodUs()) { // no pause of ours in it
                latency.completeProbe(from, m.seq(), nowUs);
            } else if (!m.answer()) {
                out.send(from.address(), new Message.LatencyExchange(m.seq(), true, latency.readingsToShare(nowUs)));
            }
        } else if (message instanceof Message.Nack m) {
            failureDetector.onNack(from, m, nowUs);
        } else if (message instanceof Message.FullStateExchange m) {
            failureDetector.onFullStateExchange(from, m, nowUs);
            has(from, m.era(), m.number(), nowUs);
        } else if (message instanceof Message.NameTaken m) {
            taken(m, nowUs);
        } else if (message instanceof Message.Prepare m) {
            viewConsensus.heard(from, m, nowUs);
        } else if (message instanceof Message.Promise m) {
            viewConsensus.heard(from, m, nowUs);
        } else if (message instanceof Message.Accept m) {
            viewConsensus.heard(from, m, nowUs);
        } else if (message instanceof Message.Accepted m) {
            viewConsensus.heard(from, m, nowUs);
        } else if (message instanceof Message.Preempted m) {
            viewConsensus.heard(from, m, nowUs);
        } else if (message instanceof Message.ViewSettled m) {
            viewConsensus.heard(from, m, nowUs);
            if (partners != null) {
                partners.onPeerView(from, m.view().era(), m.view().number()); // who tells of a view holds it
            }
        } else if (message instanceof Message.AgreementProposals m && partners != null) {
            partners.onAgreementProposals(from, m, nowUs);
        } else if (message instanceof Message.ShardsHandedOver m && partners != null) {
            partners.onShardsHandedOver(from, m, nowUs);
        } else if (message instanceof Message.SettledViewRequest m) {
            viewConsensus.heard(from, m, nowUs);
        } else if (message instanceof Message.Renew m) {
            viewConsensus.heard(from, m, nowUs);
        } else if (message instanceof Message.Renewed m) {
            viewConsensus.heard(from, m, nowUs);
        } else if (message instanceof Message.LeaseGranted m) {
            viewConsensus.leases().heard(m, viewConsensus.view(), nowUs);
        }
    }

    /** A peer has named the view that it holds. */
    private void has(Member from, long era, long number, long nowUs) {
        viewConsensus.peerHas(from, era, number, nowUs);
        if (partners != null) {
            partners.onPeerView(from, era, number);
        }
    }

    /** One that was settled on is told so by no other: it is the other that must go. */
    private void taken(Message.NameTaken said, long nowUs) {
        if (said.holder().name().equals(self.name())
                && !said.holder().is(self)
                && !viewConsensus.view().has(self)) {
            outUntilUs = nowUs + OUT_PERIODS * timing.periodUs() / 2 + random.nextLong(OUT_PERIODS * timing.periodUs());
            log.event(
                    "refused",
                    "why",
                    "the name is another's",
                    "its_start",
                    said.holder().start(),
                    "at_address",
                    said.holder().address());
        }
    }
}
