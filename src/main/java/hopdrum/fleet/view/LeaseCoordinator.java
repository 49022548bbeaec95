package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The coordinator's part of leases. It polls all members in rounds; each answer carries the time on the answering
 * member's clock. Once a majority has answered a round, each of them is granted a lease as of its last answer before
 * that round began: a member that votes for a later view does so after it has answered the round, and so after the
 * granted time. A granted time is compared only with the clock of the member that holds the lease, so clocks need not
 * be synchronized.
 */
final class LeaseCoordinator {
    private static final int ROUNDS_PER_LEASE = 5;
    private static final int FIRST_ROUNDS_PER_PERIOD = 4; // of a new view, until a majority has a time to be granted

    private final Member self;
    private final FleetTiming timing;
    private final MessageSender sender;
    private final ViewLease ownLease;
    private final Map<String, Long> lastAnswerClocks = new HashMap<>(); // by member name; cleared by a new view
    private final Set<String> answeredRound = new HashSet<>(); // names; cleared by the next round
    private Map<String, Long> clocksBeforeRound = Map.of(); // lastAnswerClocks as of the start of the round
    private View view = View.NONE;
    private long round;
    private boolean roundHasMajority;
    private long nextRoundUs;

    LeaseCoordinator(MemberContext context, ViewLease ownLease) {
        this.self = context.self();
        this.timing = context.timing();
        this.sender = context.sender();
        this.ownLease = ownLease;
    }

    void onViewSettled(View settled, long nowUs) {
        view = settled;
        lastAnswerClocks.clear();
        clocksBeforeRound = Map.of();
        answeredRound.clear();
        roundHasMajority = false;
        nextRoundUs = nowUs;
    }

    /**
     * Starts a round if one is due; called only while this member is the coordinator.
     *
     * @param voters the view's members, at their latest known addresses
     */
    void tick(List<Member> voters, long nowUs) {
        if (view.era() == 0 || nowUs < nextRoundUs) {
            return;
        }
        nextRoundUs = nowUs + timing.leaseUs() / ROUNDS_PER_LEASE;
        round++;
        answeredRound.clear();
        roundHasMajority = false;
        if (view.contains(self)) {
            recordAnswer(self, nowUs);
        }
        clocksBeforeRound = new HashMap<>(lastAnswerClocks);
        for (Member member : voters) {
            if (!member.isSameStart(self)) {
                sender.send(member.address(), new Message.LeaseRenewalRequest(view.era(), view.number(), round));
            }
        }
        grantOnMajority(voters, nowUs);
    }

    /** Handles a voter's answer to a round; an answer to an earlier round or about another view is ignored. */
    void onRenewed(Member from, Message.LeaseRenewalResponse renewed, long nowUs) {
        if (!view.hasId(renewed.era(), renewed.number()) || renewed.round() != round) {
            return;
        }
        recordAnswer(from, renewed.atUs());
        if (roundHasMajority) {
            grantLease(from);
        } else {
            grantOnMajority(view.members(), nowUs);
        }
    }

    private void recordAnswer(Member from, long answerClockUs) {
        lastAnswerClocks.put(from.name(), answerClockUs);
        answeredRound.add(from.name());
    }

    private void grantOnMajority(List<Member> members, long nowUs) {
        if (answeredRound.size() < view.majoritySize()) {
            return;
        }
        roundHasMajority = true;
        for (Member member : members) {
            if (answeredRound.contains(member.name())) {
                grantLease(member);
            }
        }
        if (clocksBeforeRound.size() < view.majoritySize()) {
            // The first round of a view has no times to grant, so the next round starts early.
            nextRoundUs = Math.min(nextRoundUs, nowUs + timing.probePeriodUs() / FIRST_ROUNDS_PER_PERIOD);
        }
    }

    private void grantLease(Member member) {
        Long confirmedUs = clocksBeforeRound.get(member.name());
        if (confirmedUs == null) {
            return;
        }
        if (member.name().equals(self.name())) {
            ownLease.extend(confirmedUs);
        } else {
            sender.send(member.address(), new Message.LeaseGranted(view.era(), view.number(), confirmedUs));
        }
    }
}
