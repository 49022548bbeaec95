package hopdrum.fleet.view;

import hopdrum.fleet.message.Ballot;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/** The Paxos proposer of the view that follows the settled one: one proposal at a time, with backoff after each failure. */
final class Proposer {
    private static final int MIN_TIMEOUT_PERIODS = 2; // doubled by each proposal that times out: disks may be slow
    private static final int MAX_TIMEOUT_PERIODS = 32;
    private static final int BACKOFF_PERIODS = 2; // of random backoff, beyond half a period

    /** The proposal under way. */
    private static final class Proposal {
        private final Ballot ballot;
        private final Set<String> promises = new HashSet<>();
        private final Set<String> acceptances = new HashSet<>();
        private View value;
        private Ballot valueBallot = Ballot.NONE; // in which an acceptor had accepted the value before
        private boolean accepting; // phase 2
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
    private Proposal proposal; // null if none is under way
    private long highestRound;
    private int timeoutPeriods = MIN_TIMEOUT_PERIODS;
    private long notBeforeUs;

    /** @param highestRound the highest round that is known to have been used for the next view */
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
        return proposal == null && nowUs >= notBeforeUs;
    }

    /** Phase 1: sends a prepare to all voters. */
    void propose(View view, View value, long nowUs) {
        proposal = new Proposal(new Ballot(++highestRound, self.name()), value);
        proposal.deadlineUs = deadlineUs(nowUs);
        log.proposed(value, proposal.ballot);
        sender.sendAll(electorate.voters(view), new Message.Prepare(view.era(), view.number(), proposal.ballot));
    }

    /** A proposal that has had no quorum by its deadline is given up. */
    void tick(View view, long nowUs) {
        if (proposal != null && nowUs >= proposal.deadlineUs) {
            log.proposalFailed(
                    proposal.ballot, proposal.promises.size(), proposal.acceptances.size(), electorate.quorum(view));
            timeoutPeriods = Math.min(MAX_TIMEOUT_PERIODS, 2 * timeoutPeriods);
            backOff(nowUs);
        }
    }

    /** Phase 2 begins with a quorum of promises. */
    void onPromise(View view, Member from, Message.Promise promise, long nowUs) {
        boolean expected = isUnderWay(promise.ballot()) && !proposal.accepting;
        if (!expected || !view.hasId(promise.era(), promise.number()) || !electorate.mayVote(view, from)) {
            return;
        }
        proposal.promises.add(from.name());
        if (promise.accepted() != null && promise.acceptedIn().compareTo(proposal.valueBallot) > 0) {
            proposal.valueBallot = promise.acceptedIn();
            proposal.value = promise.accepted(); // it may have been chosen already: no other may be
        }
        if (proposal.promises.size() >= electorate.quorum(view)) {
            proposal.accepting = true;
            proposal.deadlineUs = deadlineUs(nowUs);
            sender.sendAll(
                    electorate.voters(view),
                    new Message.Accept(view.era(), view.number(), proposal.ballot, proposal.value));
        }
    }

    /** Gives the view that is settled by this acceptance, if it completes a quorum. */
    Optional<View> onAccepted(View view, Member from, Message.Accepted accepted) {
        boolean expected = isUnderWay(accepted.ballot()) && proposal.accepting;
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

    /** An acceptor has promised a higher ballot. */
    void onPreempted(View view, Message.Preempted preempted, long nowUs) {
        if (proposal != null
                && view.hasId(preempted.era(), preempted.number())
                && preempted.promised().compareTo(proposal.ballot) > 0) {
            observeRound(preempted.promised());
            backOff(nowUs);
        }
    }

    /** Another's ballot is in use: the next own one is above it. */
    void observeRound(Ballot ballot) {
        highestRound = Math.max(highestRound, ballot.round());
    }

    /** A view has been settled: proposals to follow the one before are void. */
    void reset() {
        proposal = null;
        highestRound = 0;
        timeoutPeriods = MIN_TIMEOUT_PERIODS;
    }

    private boolean isUnderWay(Ballot ballot) {
        return proposal != null && proposal.ballot.equals(ballot);
    }

    private long deadlineUs(long nowUs) {
        return nowUs + timeoutPeriods * timing.probePeriodUs();
    }

    private void backOff(long nowUs) {
        proposal = null;
        notBeforeUs = nowUs + timing.probePeriodUs() / 2 + random.nextLong(BACKOFF_PERIODS * timing.probePeriodUs());
    }
}
