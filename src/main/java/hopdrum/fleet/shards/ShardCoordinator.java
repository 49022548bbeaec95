package hopdrum.fleet.shards;

import hopdrum.fleet.message.AgreementProposal;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.ShardAssignment.Move;
import hopdrum.fleet.message.View;
import hopdrum.fleet.view.DecisionLog;
import hopdrum.fleet.view.FailureDetector;
import hopdrum.fleet.view.FleetTiming;
import hopdrum.fleet.view.Leases;
import hopdrum.fleet.view.MessageSender;
import hopdrum.fleet.view.ShardProtocol;
import hopdrum.host.ShardOwnership;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * One member's part in what partners split: it speaks for its operator where it is the first of it, lets the council settle
 * who owns what, and says what this front door may act on. Not thread-safe. Times are microseconds of one monotonic clock;
 * agreements alone are by the wall clock.
 */
public final class ShardCoordinator implements ShardProtocol {
    private static final int TOLD = 3; // peers that are told of offers, each period
    private static final int OPENED_PERIODS = 5;
    private static final int TELL_TAKERS_PERIODS = 3;

    private final Member self;
    private final FleetTiming timing;
    private final ShardAssignmentRule rule;
    private final SplittableRandom random;
    private final MessageSender out;
    private final DecisionLog log;
    private final LongSupplier wallMs;
    private final AgreementNegotiation negotiation;
    private final ShardLeases ownership;
    private View view = View.NONE;
    private FailureDetector reach;
    private long nextTellUs;
    private long nextOpenedUs;
    private long tellTakersUntilUs = Long.MIN_VALUE / 2;
    private long nextTakersUs;
    private Map<Integer, Long> openedSaid = Map.of();
    private String said = "";
    private long saidUntilUs;

    /** @param wallMs the wall clock, milliseconds */
    public ShardCoordinator(
            Member self,
            int shards,
            long mostAloneMs,
            FleetTiming timing,
            SplittableRandom random,
            MessageSender out,
            DecisionLog log,
            LongSupplier wallMs) {
        this.self = self;
        this.timing = timing;
        this.rule = new ShardAssignmentRule(shards, mostAloneMs);
        this.random = random;
        this.out = out;
        this.log = log;
        this.wallMs = wallMs;
        this.negotiation = new AgreementNegotiation(self, rule, log);
        this.ownership = new ShardLeases(self, timing, mostAloneMs * 1000);
    }

    /** Whom this member believes to be there. */
    @Override
    public void setFailureDetector(FailureDetector who) {
        reach = who;
    }

    public void follow(Terms terms) {
        negotiation.follow(terms);
    }

    // ---- What the council asks ----

    @Override
    public ShardAssignment nextAssignment(View before, List<Member> members) {
        Set<String> present = new TreeSet<>();
        members.forEach(m -> present.add(m.operator()));
        long now = wallMs.getAsLong();
        AgreementProposal ready = negotiation.ready(before, now);
        ShardAssignment next = rule.next(
                before,
                present,
                ready == null ? null : ready.terms(),
                ready == null ? List.of() : AgreementNegotiation.agreedBy(ready),
                now);
        return next.isLike(before.division()) ? before.division() : next;
    }

    @Override
    public String objection(View before, View proposed) {
        boolean same = proposed.division() != null && proposed.division().equals(before.division());
        return same
                        && rule.next(before, proposed.operators(), null, List.of(), wallMs.getAsLong())
                                .goneMs()
                                .keySet()
                                .equals(before.division().goneMs().keySet())
                ? null
                : rule.objection(before, proposed, wallMs.getAsLong());
    }

    @Override
    public void onViewSettled(View now, long nowUs) {
        View before = view;
        view = now;
        ownership.adopted(now, nowUs);
        ShardAssignment d = now.division();
        if (d == null) {
            return;
        }
        if (!d.isLike(before.division())) {
            log.event(
                    "division",
                    "era",
                    now.era(),
                    "number",
                    now.number(),
                    "operators",
                    d.operators(),
                    "owners",
                    d.owners(),
                    "agreement",
                    d.agreement() == null ? Map.of() : AgreementNegotiation.say(d.agreement()),
                    "agreed_by",
                    d.agreedBy(),
                    "expired",
                    d.expired(),
                    "gone",
                    d.goneMs().keySet(),
                    "as_of_ms",
                    d.asOfMs());
        }
        tellTakersUntilUs = nowUs + TELL_TAKERS_PERIODS * timing.periodUs();
        tellTakers(nowUs);
    }

    /** At once, and some times again, since messages get lost: they wait for this member's word that it has stopped. */
    private void tellTakers(long nowUs) {
        nextTakersUs = nowUs + timing.periodUs() / 2;
        ShardAssignment d = view.division();
        Set<String> takers = new TreeSet<>();
        for (Move m : d.moves()) {
            if (m.number() == view.number() && m.from().equals(self.operator()) && d.owner(m.shard()) != null) {
                takers.add(d.owner(m.shard()));
            }
        }
        for (Member m : view.members()) {
            if (takers.contains(m.operator())) {
                out.send(m.address(), new Message.ViewSettled(view));
            }
        }
    }

    // ---- What peers say ----

    @Override
    public void onPeerView(Member from, long era, long number) {
        ownership.heard(from, era, number);
    }

    @Override
    public void onAgreementProposals(Member from, Message.AgreementProposals said, long nowUs) {
        negotiation.heard(from, said, nowUs);
    }

    @Override
    public void onShardsHandedOver(Member from, Message.ShardsHandedOver said, long nowUs) {
        if (from.operator().equals(self.operator())) {
            ownership.heard(said, nowUs);
        }
    }

    // ---- In the course of time ----

    @Override
    public void tick(long nowUs) {
        for (Member m : reach.left()) {
            ownership.left(m);
        }
        if (nowUs < tellTakersUntilUs && nowUs >= nextTakersUs) {
            tellTakers(nowUs);
        }
        negotiation.tick(view, speaks(), wallMs.getAsLong(), nowUs);
        List<Member> peers = reach.present();
        peers.removeIf(m -> m.is(self));
        if (nowUs >= nextTellUs && !peers.isEmpty()) {
            nextTellUs = nowUs + timing.periodUs();
            if (!negotiation.offers().isEmpty()) {
                for (int i = 0; i < TOLD; i++) {
                    out.send(
                            peers.get(random.nextInt(peers.size())).address(),
                            new Message.AgreementProposals(negotiation.offers()));
                }
            }
        }
        Map<Integer, Long> opened = ownership.opened();
        if (!opened.isEmpty() && (!opened.equals(openedSaid) || nowUs >= nextOpenedUs)) {
            nextOpenedUs = nowUs + OPENED_PERIODS * timing.periodUs();
            openedSaid = opened;
            for (Member m : peers) {
                if (m.operator().equals(self.operator())) {
                    out.send(m.address(), new Message.ShardsHandedOver(view.era(), opened));
                }
            }
        }
    }

    /** The first by name of its operator's, of those in the view that are there. */
    private boolean speaks() {
        for (Member m : view.members()) {
            if (m.operator().equals(self.operator()) && (m.is(self) || reach.state(m.name()) == State.ALIVE)) {
                return m.is(self);
            }
        }
        return false;
    }

    // ---- What is asked ----

    /** The front doors that RPCs may be passed on to, by operator: in the view, believed to be there, not this one. */
    public Map<String, List<ShardOwnership.PartnerEndpoint>> doors() {
        Map<String, List<ShardOwnership.PartnerEndpoint>> doors = new TreeMap<>();
        for (Member m : view.members()) {
            State state = reach.state(m.name());
            if (!m.is(self) && m.serves() != null && (state == State.ALIVE || state == State.SUSPECT)) {
                doors.computeIfAbsent(m.operator(), o -> new ArrayList<>())
                        .add(new ShardOwnership.PartnerEndpoint(m.name() + "/" + m.start(), m.site(), m.serves()));
            }
        }
        return doors;
    }

    /**
     * What this front door may act on, and whom to ask for the rest; null before the first division. Logged where it is another
     * than before, so that who acted on a shard, and until when, can be told from the log alone.
     *
     * @param operators tiers by number, from 1 on
     * @param offsetUs what the snapshot's clock is ahead of this one
     * @param leaves whether this member has said good-bye: then it acts on nothing
     */
    public ShardTable table(Leases leases, List<String> operators, boolean leaves, long offsetUs, long nowUs) {
        long since = leaves ? Long.MIN_VALUE / 2 : leases.heldSinceUs(nowUs);
        ShardLeases.Rights rights = ownership.rights(since, nowUs, wallMs.getAsLong() * 1000);
        if (rights == null) {
            return null;
        }
        String acts = ShardTable.of(rights, self.operator(), operators, Set.of(), 0, 0)
                .acts(nowUs);
        long until = acts.indexOf('x') < 0 ? 0 : Math.max(0, rights.untilUs());
        if (!acts.equals(said) || until != saidUntilUs) {
            said = acts;
            saidUntilUs = until;
            log.event(
                    "acts",
                    "era",
                    view.era(),
                    "number",
                    view.number(),
                    "operator",
                    self.operator(),
                    "on",
                    acts,
                    "until_us",
                    until);
        }
        return ShardTable.of(rights, self.operator(), operators, doors().keySet(), timing.periodUs(), offsetUs);
    }
}
