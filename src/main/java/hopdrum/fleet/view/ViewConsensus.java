package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import hopdrum.fleet.store.Store.DurableState;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Agrees on settled views. A majority of the members of one view agrees on the next, by one instance of single-decree
 * Paxos (Lamport, Paxos Made Simple, 2001) for each view number, so that no number ever names two views. The first view
 * of a fleet needs the votes of all founders. {@link ViewChangePlanner} decides what to propose, {@link Proposer} and
 * {@link Acceptor} are the two Paxos roles, and {@link ViewCatchUp} brings members that are behind to the latest
 * settled view.
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
     * Starts from the restored settled view, or from {@link View#NONE}.
     *
     * @param founders the names that all have to be present before a new fleet is founded
     * @param restored the state restored from the store; null if there is none
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

    /** Returns the latest settled view known to this member; {@link View#NONE} before the founding of the fleet. */
    public View view() {
        return view;
    }

    /** Returns this member's lease on the settled view. */
    public ViewLease lease() {
        return lease;
    }

    /** Whether the settled view contains a later start of this member's name: this start must not act any more. */
    boolean isSuperseded() {
        return superseded;
    }

    // ---- Ticks ----

    /**
     * Proposes a change, abandons an overdue proposal and renews leases, as due; called several times per probe period.
     */
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
        handleSelfMessages(nowUs);
    }

    /**
     * Resumes after a write of this member's state has become durable: sends the vote that waited for the write. To be
     * called under the lock of {@link Membership}.
     *
     * @param continuation the continuation that {@link DurableStateWriter#write} was given with the state
     * @param nowUs monotonic time, microseconds
     */
    public void onStateDurable(Runnable continuation, long nowUs) {
        continuation.run();
        handleSelfMessages(nowUs);
    }

    // ---- Messages ----

    /** Handles a message of consensus or of leases; messages of other protocols are ignored. */
    void onMessage(Member from, Message message, long nowUs) {
        if (!onPaxosMessage(from, message, nowUs) && !onCatchUpMessage(from, message, nowUs)) {
            onLeaseMessage(from, message, nowUs);
        }
        handleSelfMessages(nowUs);
    }

    /** Handles a peer's statement of which settled view it holds. */
    void onPeerView(Member from, long era, long number, long nowUs) {
        catchUp.onPeerView(view, from, era, number, nowUs);
        handleSelfMessages(nowUs);
    }

    /** Handles the messages that this member has sent to itself, once the message that caused them has been handled. */
    private void handleSelfMessages(long nowUs) {
        for (Message selfMessage = sender.pollSelfMessage();
                selfMessage != null;
                selfMessage = sender.pollSelfMessage()) {
            onPaxosMessage(self, selfMessage, nowUs);
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
            proposer.onAccepted(view, from, accepted).ifPresent(settled -> settleView(settled, nowUs));
        } else if (message instanceof Message.Preempted preempted) {
            proposer.onPreempted(view, preempted, nowUs);
        } else {
            return false;
        }
        return true;
    }

    private boolean onCatchUpMessage(Member from, Message message, long nowUs) {
        if (message instanceof Message.ViewSettled settled) {
            adoptView(settled.view(), ConsensusLog.Source.PEER, nowUs);
        } else if (message instanceof Message.SettledViewRequest request) {
            catchUp.onRequest(view, from, request);
        } else {
            return false;
        }
        return true;
    }

    private void onLeaseMessage(Member from, Message message, long nowUs) {
        if (message instanceof Message.LeaseRenewalRequest renew) {
            onRenew(from, renew, nowUs);
        } else if (message instanceof Message.LeaseRenewalResponse renewed) {
            if (electorate.mayVote(view, from)) {
                leaseCoordinator.onRenewed(from, renewed, nowUs);
            }
        } else if (message instanceof Message.LeaseGranted granted) {
            lease.onGranted(granted, nowUs);
        }
    }

    private void onPrepare(Member from, Message.Prepare prepare) {
        if (mayVoteOn(from, prepare.era(), prepare.number()) && acceptor.onPrepare(view, from, prepare)) {
            proposer.observeRound(prepare.ballot());
        }
    }

    private void onAccept(Member from, Message.Accept accept) {
        if (mayVoteOn(from, accept.era(), accept.number())) {
            acceptor.onAccept(view, from, accept);
        }
    }

    private boolean mayVoteOn(Member proposer, long era, long number) {
        return !superseded
                && catchUp.isOnSameView(view, proposer, era, number)
                && electorate.isVoter(view)
                && electorate.mayVote(view, proposer);
    }

    private void onRenew(Member from, Message.LeaseRenewalRequest renew, long nowUs) {
        if (!view.hasId(renew.era(), renew.number())) {
            catchUp.onPeerView(view, from, renew.era(), renew.number(), nowUs);
        } else if (!acceptor.hasAccepted() && view.contains(self)) {
            // A member that has voted for the next view no longer renews leases on the present one.
            sender.send(from, new Message.LeaseRenewalResponse(renew.era(), renew.number(), renew.round(), nowUs));
        }
    }

    // ---- Settled views ----

    /**
     * Adopts the view of this member's proposal, which a quorum has accepted, and sends it to the voters, to its
     * members and to all members present, once per address.
     */
    private void settleView(View settled, long nowUs) {
        Set<Member> recipients = new HashSet<>(electorate.voters(view));
        adoptView(settled, ConsensusLog.Source.OWN_PROPOSAL, nowUs);
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
     * Adopts a settled view if it is later than the present one. A view of a later era, that is of another founding, is
     * adopted only if this member has no view yet, or if its lease has expired, so that it no longer acts on the
     * present era.
     */
    private void adoptView(View settled, ConsensusLog.Source source, long nowUs) {
        boolean sameEra = settled.era() == view.era() && settled.number() > view.number();
        boolean laterEra = settled.era() > view.era() && (Electorate.isUnfounded(view) || !lease.isHeld(nowUs));
        if ((!sameEra && !laterEra) || Electorate.isUnfounded(settled)) {
            return;
        }
        boolean consecutive = sameEra && settled.number() == view.number() + 1;
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
        notifyLease(nowUs, consecutive);
        shardAssigner.onViewSettled(view, nowUs);
    }

    private void checkSuperseded() {
        Member settledStart = view.member(self.name());
        if (settledStart != null && settledStart.start() > self.start()) {
            superseded = true;
            log.superseded(settledStart.start());
        }
    }

    private void notifyLease(long nowUs, boolean consecutive) {
        lease.onViewSettled(view, nowUs, consecutive);
        leaseCoordinator.onViewSettled(view, nowUs);
    }
}
