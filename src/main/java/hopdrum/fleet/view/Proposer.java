package hopdrum.fleet.view;

import hopdrum.fleet.message.Ballot;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The Paxos proposer for the successor of the settled view. It makes one proposal at a time and backs off after each
 * failed one.
 */
final class Proposer {
    private static final int MIN_TIMEOUT_PERIODS = 2; // doubled after each timeout, because disks may be slow
    private static final int MAX_TIMEOUT_PERIODS = 32;
    private static final int BACKOFF_PERIODS = 2; // bound of the random backoff that is added to half a period

    /** The current proposal. */
    private static final class Proposal {
        private final Ballot ballot;
        private final Set<String> promises = new HashSet<>();
        private final Set<String> acceptances = new HashSet<>();
        private View value;
        private Ballot valueBallot = Ballot.NONE; // highest ballot in which an acceptor had already accepted the value
        private boolean accepting; // whether phase 2 has begun
        private long deadlineUs;

        private Proposal(Ballot ballot, View value) {
            this.ballot = ballot;
            this.value = value;
        }
    }

    private final Member self;
    private final FleetTiming timing;
    private final SplittableRandom random;
    private final Electorate electorate;
    private final ConsensusSender sender;
    private final ConsensusLog log;
    private Proposal proposal; // null if no proposal is in progress
    private long highestRound;
    private int timeoutPeriods = MIN_TIMEOUT_PERIODS;
    private long backoffUntilUs;

    /**
     * Creates an idle proposer.
     *
     * @param highestRound the highest round that is known to have been used for the next view
     */
    Proposer(
            MemberContext context, Electorate electorate, ConsensusSender sender, ConsensusLog log, long highestRound) {
        this.self = context.self();
        this.timing = context.timing();
        this.random = context.random();
        this.electorate = electorate;
        this.sender = sender;
        this.log = log;
        this.highestRound = highestRound;
    }

    boolean mayPropose(long nowUs) {
        return proposal == null && nowUs >= backoffUntilUs;
    }

    /** Starts a proposal with phase 1: sends a prepare to all voters. */
    void propose(View view, View value, long nowUs) {
        proposal = new Proposal(new Ballot(++highestRound, self.name()), value);
        proposal.deadlineUs = deadlineUs(nowUs);
        log.proposed(value, proposal.ballot);
        sender.sendAll(electorate.voters(view), new Message.Prepare(view.era(), view.number(), proposal.ballot));
    }

    /** Abandons a proposal that has no quorum by its deadline, and doubles the next one's timeout. */
    void tick(View view, long nowUs) {
        if (proposal != null && nowUs >= proposal.deadlineUs) {
            log.proposalFailed(
                    proposal.ballot, proposal.promises.size(), proposal.acceptances.size(), electorate.quorum(view));
            timeoutPeriods = Math.min(MAX_TIMEOUT_PERIODS, 2 * timeoutPeriods);
            backOff(nowUs);
        }
    }

    /** Counts a promise; starts phase 2 once a quorum has promised. */
    void onPromise(View view, Member from, Message.Promise promise, long nowUs) {
        boolean expected = isCurrentProposal(promise.ballot()) && !proposal.accepting;
        if (!expected || !view.hasId(promise.era(), promise.number()) || !electorate.mayVote(view, from)) {
            return;
        }
        proposal.promises.add(from.name());
        if (promise.accepted() != null && promise.acceptedIn().compareTo(proposal.valueBallot) > 0) {
            proposal.valueBallot = promise.acceptedIn();
            proposal.value = promise.accepted(); // this view may have been chosen already, so no other may be proposed
        }
        if (proposal.promises.size() >= electorate.quorum(view)) {
            proposal.accepting = true;
            proposal.deadlineUs = deadlineUs(nowUs);
            sender.sendAll(
                    electorate.voters(view),
                    new Message.Accept(view.era(), view.number(), proposal.ballot, proposal.value));
        }
    }

    /** Counts an acceptance; returns the view that it settles if it completes a quorum. */
    Optional<View> onAccepted(View view, Member from, Message.Accepted accepted) {
        boolean expected = isCurrentProposal(accepted.ballot()) && proposal.accepting;
        if (!expected || !view.hasId(accepted.era(), accepted.number()) || !electorate.mayVote(view, from)) {
            return Optional.empty();
        }
        proposal.acceptances.add(from.name());
        if (proposal.acceptances.size() < electorate.quorum(view)) {
            return Optional.empty();
        }
        View settled = proposal.value;
        proposal = null;
        return Optional.of(settled);
    }

    /** Abandons the proposal if an acceptor has promised a higher ballot. */
    void onPreempted(View view, Message.Preempted preempted, long nowUs) {
        if (proposal != null
                && view.hasId(preempted.era(), preempted.number())
                && preempted.promised().compareTo(proposal.ballot) > 0) {
            observeRound(preempted.promised());
            backOff(nowUs);
        }
    }

    /** Records the round of another proposer's ballot, so that this member's next ballot is higher. */
    void observeRound(Ballot ballot) {
        highestRound = Math.max(highestRound, ballot.round());
    }

    /** Drops the proposal: a new view has been settled, so the proposal is void. */
    void reset() {
        proposal = null;
        highestRound = 0;
        timeoutPeriods = MIN_TIMEOUT_PERIODS;
    }

    private boolean isCurrentProposal(Ballot ballot) {
        return proposal != null && proposal.ballot.equals(ballot);
    }

    private long deadlineUs(long nowUs) {
        return nowUs + timeoutPeriods * timing.probePeriodUs();
    }

    private void backOff(long nowUs) {
        proposal = null;
        backoffUntilUs = nowUs + timing.probePeriodUs() / 2 + random.nextLong(BACKOFF_PERIODS * timing.probePeriodUs());
    }
}
