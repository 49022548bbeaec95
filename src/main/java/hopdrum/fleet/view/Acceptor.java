package hopdrum.fleet.view;

import hopdrum.fleet.message.Ballot;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import hopdrum.fleet.store.Store.DurableState;
import java.util.Optional;

/**
 * The Paxos acceptor for the successor of the settled view. A promise or an acceptance is binding at once, but is sent
 * only when it is durable, so that no vote is lost in a restart. Writes are asynchronous, so that a slow disk does not
 * block the member.
 */
final class Acceptor {
    private final Member self;
    private final DurableStateWriter writer;
    private final ConsensusSender sender;
    private final ShardAssigner shardAssigner;
    private final ConsensusLog log;
    private Ballot promisedBallot;
    private Ballot acceptedBallot; // null if no view has been accepted
    private View acceptedView; // null if no view has been accepted

    /**
     * Restores the votes cast before this start.
     *
     * @param restored the state restored from the store; null if there is none
     */
    Acceptor(
            Member self,
            DurableState restored,
            DurableStateWriter writer,
            ConsensusSender sender,
            ShardAssigner shardAssigner,
            ConsensusLog log) {
        this.self = self;
        this.writer = writer;
        this.sender = sender;
        this.shardAssigner = shardAssigner;
        this.log = log;
        this.promisedBallot = restored == null || restored.promised() == null ? Ballot.NONE : restored.promised();
        this.acceptedBallot = restored == null ? null : restored.acceptedIn();
        this.acceptedView = restored == null ? null : restored.accepted();
    }

    /**
     * Whether this member has accepted a successor of the settled view. If so, this member no longer renews leases on
     * the settled view.
     */
    boolean hasAccepted() {
        return acceptedBallot != null;
    }

    /** Returns the round of the highest promised ballot. */
    long promisedRound() {
        return promisedBallot.round();
    }

    /**
     * Answers a prepare for the successor of the settled view with a promise, or with the higher ballot that was
     * promised.
     *
     * @return whether the ballot was promised
     */
    boolean onPrepare(View view, Member from, Message.Prepare prepare) {
        if (isPreempted(prepare.ballot())) {
            sender.send(from, new Message.Preempted(prepare.era(), prepare.number(), promisedBallot));
            return false;
        }
        Message promise =
                new Message.Promise(prepare.era(), prepare.number(), prepare.ballot(), acceptedBallot, acceptedView);
        promisedBallot = prepare.ballot();
        persist(view, () -> sender.send(from, promise));
        return true;
    }

    /** Accepts a proposal, unless a higher ballot was promised or its shard assignment violates the assignment rule. */
    void onAccept(View view, Member from, Message.Accept accept) {
        if (isPreempted(accept.ballot())) {
            sender.send(from, new Message.Preempted(accept.era(), accept.number(), promisedBallot));
            return;
        }
        View proposed = accept.view();
        Optional<String> violation = shardAssigner.violation(view, proposed);
        if (violation.isPresent()) {
            log.rejected(accept.era(), proposed, violation.get());
            return;
        }
        promisedBallot = accept.ballot();
        acceptedBallot = accept.ballot();
        acceptedView = proposed;
        persist(view, () -> {
            log.accepted(proposed, accept.ballot(), self.voter());
            sender.send(from, new Message.Accepted(accept.era(), accept.number(), accept.ballot()));
        });
    }

    private boolean isPreempted(Ballot ballot) {
        return ballot.compareTo(promisedBallot) < 0;
    }

    /**
     * Discards the votes on a view that has been settled. No vote depends on this write: if it is lost in a restart,
     * the member requests the settled view again.
     */
    void reset(View settled) {
        promisedBallot = Ballot.NONE;
        acceptedBallot = null;
        acceptedView = null;
        persist(settled, () -> {});
    }

    private void persist(View view, Runnable continuation) {
        DurableState state =
                new DurableState(self.voter(), self.start(), view, promisedBallot, acceptedBallot, acceptedView);
        writer.write(state, continuation);
    }
}
