package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import hopdrum.fleet.store.Store.DurableState;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Settled views: each is agreed on by a majority of the members of the one before, by single-decree Paxos for each view
 * number (Lamport, Paxos Made Simple, 2001), so that no number ever names two views. The first view of a fleet takes all
 * founders. {@link ViewChangePlanner} decides what to propose, {@link Proposer} and {@link Acceptor} are the two Paxos
 * roles, {@link ViewCatchUp} distributes settled views.
 *
 * <p>Not thread-safe: called under the lock of {@link Membership}. Times are microseconds of one monotonic clock.
 */
public final class ViewConsensus {
    private final Member self;
    private final FailureDetector failureDetector;
    private final ShardAssigner shardAssigner;
    private final ConsensusSender sender;
    private final ConsensusLog log;
    private final Electorate electorate;
    private final ViewChangePlanner changePlanner;
    private final Proposer proposer;
    private final Acceptor acceptor;
    private final ViewCatchUp catchUp;
    private final ViewLease lease;
    private final LeaseCoordinator leaseCoordinator;
    private View view;
    private boolean superseded;

    /**
     * @param founders the names that all have to be present before a new fleet is founded
     * @param restored what was durable before this start; null if nothing was
     */
    ViewConsensus(
            MemberContext context,
            List<String> founders,
            DurableState restored,
            FailureDetector failureDetector,
            DurableStateWriter writer,
            ShardAssigner shardAssigner,
            long nowUs) {
        this.self = context.self();
        this.failureDetector = failureDetector;
        this.shardAssigner = shardAssigner;
        this.sender = new ConsensusSender(self, context.sender());
        this.log = new ConsensusLog(context.log());
        this.electorate = new Electorate(self, founders, failureDetector);
        this.changePlanner = new ViewChangePlanner(context, electorate, failureDetector, shardAssigner);
        this.acceptor = new Acceptor(self, restored, writer, sender, shardAssigner, log);
        this.proposer = new Proposer(context, electorate, sender, log, acceptor.promisedRound());
        this.catchUp = new ViewCatchUp(context.timing(), sender);
        this.lease = new ViewLease(context, nowUs);
        this.leaseCoordinator = new LeaseCoordinator(context, lease);
        this.view = restored == null ? View.NONE : restored.view();
        failureDetector.onViewSettled(view, nowUs);
        notifyLease(nowUs, false);
        if (!Electorate.isUnfounded(view)) {
            shardAssigner.onViewSettled(view, nowUs);
            log.settled(view, ConsensusLog.Source.STORE);
        }
    }

    // ---- Queries ----

    /** The view that is settled here; {@link View#NONE} before the founding. */
    public View view() {
        return view;
    }

    /** This member's lease on the settled view. */
    public ViewLease lease() {
        return lease;
    }

    /** Whether a later start of this name is in the settled view: this start must not act any more. */
    boolean isSuperseded() {
        return superseded;
    }

    // ---- Time ----

    /** Called several times a probe period. */
    void tick(long nowUs) {
        proposer.tick(view, nowUs);
        if (!superseded && electorate.isVoter(view)) {
            changePlanner
                    .nextView(view, proposer.mayPropose(nowUs), nowUs)
                    .ifPresent(next -> proposer.propose(view, next, nowUs));
        }
        lease.tick(nowUs);
        if (electorate.isVoter(view) && electorate.isCoordinator(view) && !acceptor.hasAccepted()) {
            leaseCoordinator.tick(electorate.voters(view), nowUs);
        }
        handleOwnMessages(nowUs);
    }

    /**
     * A write of this member's state is durable: sends the vote that waited for it. To be called under the lock of
     * {@link Membership}.
     *
     * @param continuation what was given to {@link DurableStateWriter#write} with the state
     * @param nowUs monotonic time, microseconds
     */
    public void onStateDurable(Runnable continuation, long nowUs) {
        continuation.run();
        handleOwnMessages(nowUs);
    }

    // ---- Messages ----

    /** Handles a message of consensus or of leases; those of other protocols are ignored. */
    void onMessage(Member from, Message message, long nowUs) {
        if (!onPaxosMessage(from, message, nowUs) && !onCatchUpMessage(from, message, nowUs)) {
            onLeaseMessage(from, message, nowUs);
        }
        handleOwnMessages(nowUs);
    }

    /** A peer has named the settled view that it holds. */
    void onPeerView(Member from, long era, long number, long nowUs) {
        catchUp.onPeerView(view, from, era, number, nowUs);
        handleOwnMessages(nowUs);
    }

    /** What this member sends to itself takes the way of all messages, but never while another is being handled. */
    private void handleOwnMessages(long nowUs) {
        for (Message own = sender.pollOwn(); own != null; own = sender.pollOwn()) {
            onPaxosMessage(self, own, nowUs);
        }
    }

    private boolean onPaxosMessage(Member from, Message message, long nowUs) {
        if (message instanceof Message.Prepare prepare) {
            onPrepare(from, prepare);
        } else if (message instanceof Message.Promise promise) {
            proposer.onPromise(view, from, promise, nowUs);
        } else if (message instanceof Message.Accept accept) {
            onAccept(from, accept);
        } else if (message instanceof Message.Accepted accepted) {
            proposer.onAccepted(view, from, accepted).ifPresent(settled -> settle(settled, nowUs));
        } else if (message instanceof Message.Preempted preempted) {
            proposer.onPreempted(view, preempted, nowUs);
        } else {
            return false;
        }
        return true;
    }

    private boolean onCatchUpMessage(Member from, Message message, long nowUs) {
        if (message instanceof Message.ViewSettled settled) {
            adopt(settled.view(), ConsensusLog.Source.PEER, nowUs);
        } else if (message instanceof Message.SettledViewRequest request) {
            catchUp.onRequest(view, from, request);
        } else {
            return false;
        }
        return true;
    }

    private void onLeaseMessage(Member from, Message message, long nowUs) {
        if (message instanceof Message.Renew renew) {
            onRenew(from, renew, nowUs);
        } else if (message instanceof Message.Renewed renewed) {
            if (electorate.mayVote(view, from)) {
                leaseCoordinator.onRenewed(from, renewed, nowUs);
            }
        } else if (message instanceof Message.LeaseGranted granted) {
            lease.onGranted(granted, nowUs);
        }
    }

    private void onPrepare(Member from, Message.Prepare prepare) {
        if (votesOn(from, prepare.era(), prepare.number()) && acceptor.onPrepare(view, from, prepare)) {
            proposer.observeRound(prepare.ballot());
        }
    }

    private void onAccept(Member from, Message.Accept accept) {
        if (votesOn(from, accept.era(), accept.number())) {
            acceptor.onAccept(view, from, accept);
        }
    }

    private boolean votesOn(Member proposer, long era, long number) {
        return !superseded
                && catchUp.isOnSameView(view, proposer, era, number)
                && electorate.isVoter(view)
                && electorate.mayVote(view, proposer);
    }

    private void onRenew(Member from, Message.Renew renew, long nowUs) {
        if (!view.hasId(renew.era(), renew.number())) {
            catchUp.onPeerView(view, from, renew.era(), renew.number(), nowUs);
        } else if (!acceptor.hasAccepted()
                && view.contains(self)) { // a member that has voted for the next view does not renew this one
            sender.send(from, new Message.Renewed(renew.era(), renew.number(), renew.round(), nowUs));
        }
    }

    // ---- Settled views ----

    /** This member's proposal has a quorum: adopts the view, and sends it to the voters, its members and all who are present. */
    private void settle(View settled, long nowUs) {
        Set<Member> recipients = new HashSet<>(electorate.voters(view));
        adopt(settled, ConsensusLog.Source.OWN_PROPOSAL, nowUs);
        addByAddress(recipients, settled.members());
        addByAddress(recipients, failureDetector.presentMembers());
        recipients.removeIf(member -> member.isSameStart(self));
        recipients.forEach(member -> sender.sendToPeer(member, new Message.ViewSettled(settled)));
    }

    private static void addByAddress(Set<Member> recipients, List<Member> members) {
        for (Member member : members) {
            if (recipients.stream().noneMatch(known -> known.address().equals(member.address()))) {
                recipients.add(member);
            }
        }
    }

    /**
     * Holds a settled view from now on, if it is later than the present one. One of another era, so of another founding,
     * is adopted only where there was no fleet, or where the lease has lapsed and nothing of the present era is acted on.
     */
    private void adopt(View settled, ConsensusLog.Source source, long nowUs) {
        boolean sameEra = settled.era() == view.era() && settled.number() > view.number();
        boolean laterEra = settled.era() > view.era() && (Electorate.isUnfounded(view) || !lease.isHeld(nowUs));
        if ((!sameEra && !laterEra) || Electorate.isUnfounded(settled)) {
            return;
        }
        boolean follows = sameEra && settled.number() == view.number() + 1;
        View before = view;
        view = settled;
        acceptor.reset(settled);
        proposer.reset();
        changePlanner.reset();
        log.settled(view, source);
        if (laterEra && !Electorate.isUnfounded(before)) {
            log.eraChanged(before.era(), view.era());
        }
        checkSuperseded();
        failureDetector.onViewSettled(view, nowUs);
        notifyLease(nowUs, follows);
        shardAssigner.onViewSettled(view, nowUs);
    }

    private void checkSuperseded() {
        Member settledStart = view.member(self.name());
        if (settledStart != null && settledStart.start() > self.start()) {
            superseded = true;
            log.superseded(settledStart.start());
        }
    }

    private void notifyLease(long nowUs, boolean follows) {
        lease.onViewSettled(view, nowUs, follows);
        leaseCoordinator.onViewSettled(view, nowUs);
    }
}
