package hopdrum.fleet.view;

import hopdrum.fleet.message.Ballot;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.View;
import hopdrum.fleet.store.Store.DurableState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Settled views: each follows the one before once a majority of that one's members has agreed, by one round of Paxos a
 * number (Lamport 2001), so that no number ever names two views. The first view after a founding takes all founders.
 * Changes wait until what is believed has stood still for a period, and so come in batches (after Rapid, Suresh and
 * others 2018). A vote is kept before it is given. Not thread-safe. Times are microseconds of one monotonic clock.
 */
public final class ViewConsensus {
    private static final int STILL_PERIODS = 1; // before a change is proposed
    private static final int BATCH_PERIODS = 6; // the longest that a change waits for suspicions to be decided
    private static final int LEAST_PATIENCE =
            2; // periods that a proposal waits for votes; twice as many after each that failed
    private static final int MOST_PATIENCE = 32;
    private static final long NOTHING = Long.MIN_VALUE / 2;

    /** One try to settle the view after the present one. */
    private static final class Proposal {
        Ballot ballot;
        View value;
        Ballot seenIn = Ballot.NONE;
        final Set<String> promised = new HashSet<>();
        final Set<String> accepted = new HashSet<>();
        boolean accepting;
        long untilUs;
    }

    private final Member self;
    private final List<String> founders;
    private final FleetTiming timing;
    private final SplittableRandom random;
    private final MessageSender out;
    private final FailureDetector failureDetector;
    private final DurableStateWriter keeper;
    private final DecisionLog log;
    private final Leases leases;
    private final ShardAssigner dividing;
    private final Deque<Message> toSelf = new ArrayDeque<>(); // emptied at the end of each call
    private View view;
    private Ballot promised;
    private Ballot acceptedIn; // null: nothing accepted for the next number
    private View accepted;
    private long highestRound;
    private Proposal proposal;
    private int patience = LEAST_PATIENCE;
    private long notBeforeUs; // after a try that came to nothing
    private List<Member> wanted; // as last seen, and since when
    private long wantedSinceUs;
    private long changeSinceUs = NOTHING;
    private boolean superseded;
    private long askedUs = NOTHING;

    public ViewConsensus(
            Member self,
            List<String> founders,
            DurableState kept,
            FleetTiming timing,
            SplittableRandom random,
            MessageSender out,
            FailureDetector failureDetector,
            DurableStateWriter keeper,
            ShardAssigner dividing,
            DecisionLog log,
            long nowUs) {
        this.self = self;
        this.dividing = dividing;
        this.founders = founders.stream().sorted().toList();
        this.timing = timing;
        this.random = random;
        this.out = out;
        this.failureDetector = failureDetector;
        this.keeper = keeper;
        this.log = log;
        this.view = kept == null ? View.NONE : kept.view();
        this.promised = kept == null || kept.promised() == null ? Ballot.NONE : kept.promised();
        this.acceptedIn = kept == null ? null : kept.acceptedIn();
        this.accepted = kept == null ? null : kept.accepted();
        this.highestRound = promised.round();
        this.leases = new Leases(self, timing, out, log, nowUs);
        failureDetector.onViewSettled(view, nowUs);
        leases.settled(view, nowUs, false);
        if (view.era() > 0) {
            dividing.onViewSettled(view, nowUs);
            logView("kept");
        }
    }

    // ---- What is asked ----

    public View view() {
        return view;
    }

    public Leases leases() {
        return leases;
    }

    /** A later start of this name is in the settled view: this one must not act any more. */
    public boolean isSuperseded() {
        return superseded;
    }

    private boolean isVoter() {
        Member mine = view.named(self.name());
        return view.era() == 0 ? founders.contains(self.name()) : mine != null && mine.voter() == self.voter();
    }

    private int quorum() {
        return view.era() == 0 ? founders.size() : view.majority();
    }

    /** Those who vote on the next view, as they are reached now. */
    private List<Member> voters() {
        List<Member> voters = new ArrayList<>();
        if (view.era() == 0) {
            founders.forEach(name -> addKnown(voters, name));
        } else {
            for (Member m : view.members()) {
                Member known = failureDetector.latestStart(m.name());
                voters.add(known != null && known.voter() == m.voter() ? known : m);
            }
        }
        return voters;
    }

    private void addKnown(List<Member> to, String name) {
        Member known = failureDetector.latestStart(name);
        if (known != null) {
            to.add(known);
        }
    }

    private boolean mayVote(Member from) {
        Member of = view.named(from.name());
        return view.era() == 0 ? founders.contains(from.name()) : of != null && of.voter() == from.voter();
    }

    // ---- In the course of time ----

    public void tick(long nowUs) {
        if (proposal != null && nowUs >= proposal.untilUs) {
            log.event(
                    "proposal_failed",
                    "ballot",
                    proposal.ballot.round(),
                    "promised",
                    proposal.promised.size(),
                    "accepted",
                    proposal.accepted.size(),
                    "needed",
                    quorum());
            patience = Math.min(MOST_PATIENCE, 2 * patience); // a voter's disk may be slow
            backOff(nowUs);
        }
        if (!superseded && isVoter()) {
            look(nowUs);
        }
        leases.tick(view, isVoter() && isChair() && acceptedIn == null, voters(), nowUs);
        drain(nowUs);
    }

    /**
     * The first by name of those who vote and are not even suspected; several may think so of themselves: no harm. Who was
     * started anew without a store has no vote: waiting for it as the chair would be waiting for ever.
     */
    private boolean isChair() {
        for (Member m : voters()) {
            if (failureDetector.state(m.name()) == State.ALIVE && m.is(failureDetector.latestStart(m.name()))) {
                return m.name().equals(self.name());
            }
        }
        return false;
    }

    /** Proposes the next view once what it should be has stood still, and suspicions have been decided. */
    private void look(long nowUs) {
        List<Member> now = view.era() == 0 ? founding() : wantedNow(nowUs);
        boolean chair = isChair();
        ShardAssignment next = chair && now != null ? dividing.nextAssignment(view, now) : view.shardAssignment();
        boolean divides = next != null && !next.isLike(view.shardAssignment());
        if (now == null || (sameStarts(now, view.members()) && !divides)) {
            wanted = null;
            changeSinceUs = NOTHING;
            return;
        }
        if (wanted == null || !sameStarts(now, wanted)) {
            wanted = now;
            wantedSinceUs = nowUs;
        }
        changeSinceUs = changeSinceUs == NOTHING ? nowUs : changeSinceUs;
        boolean still = nowUs - wantedSinceUs >= STILL_PERIODS * timing.periodUs() && !anySuspect();
        if (!(still || nowUs - changeSinceUs >= BATCH_PERIODS * timing.periodUs())
                || proposal != null
                || nowUs < notBeforeUs
                || !chair) {
            return;
        }
        long era = view.era() == 0 ? System.currentTimeMillis() * 1000 : view.era();
        propose(new View(era, view.number() + 1, wanted, next), nowUs);
    }

    /** Null until all founders are there, without a fleet of before. */
    private List<Member> founding() {
        List<Member> all = new ArrayList<>();
        for (String name : founders) {
            Member known = failureDetector.latestStart(name);
            if (known == null || failureDetector.state(name) != State.ALIVE) {
                return null;
            }
            all.add(known);
        }
        return all;
    }

    private List<Member> wantedNow(long nowUs) {
        List<Member> next = new ArrayList<>();
        for (Member m : view.members()) {
            Member known = failureDetector.latestStart(m.name());
            State state = failureDetector.state(m.name());
            boolean later = known != null && known.start() > m.start();
            if (later && state == State.ALIVE) {
                next.add(known); // a restart
            } else if (known == null || known.start() < m.start() || state == State.ALIVE || state == State.SUSPECT) {
                next.add(m); // nobody knows better, or it is not decided yet
            }
        }
        for (Member m : failureDetector.present()) {
            if (view.named(m.name()) == null
                    && failureDetector.state(m.name()) == State.ALIVE
                    && (m.is(self)
                            || nowUs - failureDetector.stateSinceUs(m.name()) >= STILL_PERIODS * timing.periodUs())) {
                next.add(m);
            }
        }
        next.sort(Comparator.comparing(Member::name));
        return next;
    }

    private boolean anySuspect() {
        return view.members().stream().anyMatch(m -> failureDetector.state(m.name()) == State.SUSPECT);
    }

    private static boolean sameStarts(List<Member> a, List<Member> b) {
        if (a.size() != b.size()) {
            return false;
        }
        for (int i = 0; i < a.size(); i++) {
            if (!a.get(i).is(b.get(i))) {
                return false;
            }
        }
        return true;
    }

    // ---- Proposing ----

    private void propose(View value, long nowUs) {
        proposal = new Proposal();
        proposal.ballot = new Ballot(++highestRound, self.name());
        proposal.value = value;
        proposal.untilUs = nowUs + patience * timing.periodUs();
        log.event(
                "proposes",
                "era",
                value.era(),
                "number",
                value.number(),
                "ballot",
                proposal.ballot.round(),
                "members",
                names(value));
        toAll(voters(), new Message.Prepare(view.era(), view.number(), proposal.ballot));
    }

    private void backOff(long nowUs) {
        proposal = null;
        notBeforeUs = nowUs + timing.periodUs() / 2 + random.nextLong(timing.periodUs() * 2);
    }

    public void heard(Member from, Message.Promise promise, long nowUs) {
        Proposal p = proposal;
        if (p == null
                || p.accepting
                || !view.isNamed(promise.era(), promise.number())
                || !promise.ballot().equals(p.ballot)
                || !mayVote(from)) {
            return;
        }
        p.promised.add(from.name());
        if (promise.accepted() != null && promise.acceptedIn().compareTo(p.seenIn) > 0) {
            p.seenIn = promise.acceptedIn();
            p.value = promise.accepted(); // it may have been settled already: only that view may be
        }
        if (p.promised.size() >= quorum()) {
            p.accepting = true;
            p.untilUs = nowUs + patience * timing.periodUs();
            toAll(voters(), new Message.Accept(view.era(), view.number(), p.ballot, p.value));
        }
        drain(nowUs);
    }

    public void heard(Member from, Message.Accepted said, long nowUs) {
        Proposal p = proposal;
        if (p == null
                || !p.accepting
                || !view.isNamed(said.era(), said.number())
                || !said.ballot().equals(p.ballot)
                || !mayVote(from)) {
            return;
        }
        p.accepted.add(from.name());
        if (p.accepted.size() >= quorum()) {
            Set<Member> all = new HashSet<>(voters());
            View settled = p.value;
            proposal = null;
            adopt(settled, "agreed", nowUs);
            settled.members().forEach(m -> addOther(all, m));
            failureDetector.present().forEach(m -> addOther(all, m));
            all.removeIf(m -> m.is(self));
            all.forEach(m -> out.send(m.address(), new Message.ViewSettled(settled)));
        }
        drain(nowUs);
    }

    private static void addOther(Set<Member> all, Member m) {
        if (all.stream().noneMatch(o -> o.address().equals(m.address()))) {
            all.add(m);
        }
    }

    public void heard(Member from, Message.Preempted overruled, long nowUs) {
        if (proposal != null
                && view.isNamed(overruled.era(), overruled.number())
                && overruled.by().compareTo(proposal.ballot) > 0) {
            highestRound = Math.max(highestRound, overruled.by().round());
            backOff(nowUs);
        }
        drain(nowUs);
    }

    // ---- Voting ----

    /** What a vote needs: the same view as the proposer's. One who is behind is told, or asks. */
    private boolean votesOn(Member from, long era, long number) {
        if (superseded) {
            return false;
        }
        if (view.era() > era || (view.era() == era && view.number() > number)) {
            reply(from, new Message.ViewSettled(view));
            return false;
        }
        if (!view.isNamed(era, number)) {
            reply(from, new Message.SettledViewRequest(view.era(), view.number()));
            return false;
        }
        return isVoter() && mayVote(from);
    }

    public void heard(Member from, Message.Prepare prepare, long nowUs) {
        if (votesOn(from, prepare.era(), prepare.number())) {
            if (prepare.ballot().compareTo(promised) < 0) {
                reply(from, new Message.Preempted(prepare.era(), prepare.number(), promised));
            } else {
                highestRound = Math.max(highestRound, prepare.ballot().round());
                Message promise =
                        new Message.Promise(prepare.era(), prepare.number(), prepare.ballot(), acceptedIn, accepted);
                keep(prepare.ballot(), acceptedIn, accepted, () -> reply(from, promise));
            }
        }
        drain(nowUs);
    }

    public void heard(Member from, Message.Accept accept, long nowUs) {
        if (votesOn(from, accept.era(), accept.number())) {
            if (accept.ballot().compareTo(promised) < 0) {
                reply(from, new Message.Preempted(accept.era(), accept.number(), promised));
            } else if (dividing.objection(view, accept.view()) != null) {
                log.event(
                        "objects",
                        "era",
                        accept.era(),
                        "number",
                        accept.view().number(),
                        "why",
                        dividing.objection(view, accept.view()));
            } else {
                View of = accept.view();
                keep(accept.ballot(), accept.ballot(), of, () -> {
                    log.event(
                            "accepted",
                            "era",
                            of.era(),
                            "number",
                            of.number(),
                            "ballot",
                            accept.ballot().round(),
                            "proposer",
                            accept.ballot().proposer(),
                            "members",
                            names(of),
                            "voter",
                            self.voter());
                    reply(from, new Message.Accepted(accept.era(), accept.number(), accept.ballot()));
                });
            }
        }
        drain(nowUs);
    }

    /**
     * Guards against a vote that is forgotten with a restart: it is given once it is kept. Until then this start is bound
     * by it already, and goes on with all else: a slow disk makes no slow member.
     */
    private void keep(Ballot newPromised, Ballot newAcceptedIn, View newAccepted, Runnable then) {
        promised = newPromised;
        acceptedIn = newAcceptedIn;
        accepted = newAccepted;
        keeper.write(new DurableState(self.voter(), self.start(), view, promised, acceptedIn, accepted), then);
    }

    /** Goes on with what waited for a write of this member's own: its own vote may be the one that was missing. */
    public void onDurable(Runnable then, long nowUs) {
        then.run();
        drain(nowUs);
    }

    // ---- Settled ----

    public void heard(Member from, Message.ViewSettled settled, long nowUs) {
        adopt(settled.view(), "told", nowUs);
        drain(nowUs);
    }

    public void heard(Member from, Message.SettledViewRequest ask, long nowUs) {
        if (view.era() > ask.era() || (view.era() == ask.era() && view.number() > ask.number())) {
            reply(from, new Message.ViewSettled(view));
        }
        drain(nowUs);
    }

    /** A peer has named its settled view: one that is behind asks, and one that is ahead tells. */
    public void peerHas(Member from, long era, long number, long nowUs) {
        boolean ahead = era > view.era() || (era == view.era() && number > view.number());
        if (ahead && nowUs - askedUs > timing.ackTimeoutUs()) {
            askedUs = nowUs;
            reply(from, new Message.SettledViewRequest(view.era(), view.number()));
        } else if (view.era() > 0 && (era < view.era() || number < view.number()) && !ahead) {
            reply(from, new Message.ViewSettled(view));
        }
        drain(nowUs);
    }

    /**
     * Another era is another founding: taken only by one that has no fleet, or whose own has lost its majority for so
     * long that nothing of it is acted on here any more.
     */
    private void adopt(View settled, String how, long nowUs) {
        boolean next = settled.era() == view.era() && settled.number() > view.number();
        boolean otherEra = settled.era() > view.era() && (view.era() == 0 || !leases.holds(nowUs));
        if ((!next && !otherEra) || settled.era() == 0) {
            return;
        }
        boolean follows = next && settled.number() == view.number() + 1;
        View before = view;
        view = settled;
        keep(Ballot.NONE, null, null, () -> {}); // nothing is promised by it: a start that has forgotten it asks again
        proposal = null;
        wanted = null;
        changeSinceUs = NOTHING;
        highestRound = 0;
        patience = LEAST_PATIENCE;
        logView(how);
        if (otherEra && before.era() > 0) {
            log.event("another_era", "before", before.era(), "now", view.era());
        }
        Member mine = view.named(self.name());
        if (mine != null && mine.start() > self.start()) {
            superseded = true;
            log.event("superseded", "by", mine.start());
        }
        failureDetector.onViewSettled(view, nowUs);
        leases.settled(view, nowUs, follows);
        dividing.onViewSettled(view, nowUs);
    }

    private void logView(String how) {
        Map<String, Long> starts = new LinkedHashMap<>();
        Map<String, Long> voters = new HashMap<>();
        for (Member m : view.members()) {
            starts.put(m.name(), m.start());
            voters.put(m.name(), m.voter());
        }
        log.event("view", "era", view.era(), "number", view.number(), "members", starts, "voters", voters, "how", how);
    }

    private static List<String> names(View of) {
        return of.members().stream().map(m -> m.name() + "/" + m.start()).toList();
    }

    // ---- Messages ----

    public void heard(Member from, Message.Renew renew, long nowUs) {
        if (view.isNamed(renew.era(), renew.number())) {
            if (acceptedIn == null && view.has(self)) { // who has voted for the next view holds this one no longer
                reply(from, new Message.Renewed(renew.era(), renew.number(), renew.round(), nowUs));
            }
        } else {
            peerHas(from, renew.era(), renew.number(), nowUs);
        }
        drain(nowUs);
    }

    public void heard(Member from, Message.Renewed renewed, long nowUs) {
        if (mayVote(from)) {
            leases.heard(from, renewed, view, nowUs);
        }
        drain(nowUs);
    }

    private void toAll(List<Member> all, Message message) {
        for (Member m : all) {
            reply(m, message);
        }
    }

    private void reply(Member to, Message message) {
        if (to.name().equals(self.name())) {
            toSelf.add(message);
        } else {
            out.send(to.address(), message);
        }
    }

    /** What this member says to itself takes the way of all messages, but never from inside of another's handling. */
    private void drain(long nowUs) {
        for (Message m = toSelf.poll(); m != null; m = toSelf.poll()) {
            if (m instanceof Message.Prepare x) {
                heard(self, x, nowUs);
            } else if (m instanceof Message.Promise x) {
                heard(self, x, nowUs);
            } else if (m instanceof Message.Accept x) {
                heard(self, x, nowUs);
            } else if (m instanceof Message.Accepted x) {
                heard(self, x, nowUs);
            } else if (m instanceof Message.Preempted x) {
                heard(self, x, nowUs);
            }
        }
    }
}
