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
 * The coordinator's part of leases. It polls all members in rounds; each answer carries the answerer's own clock. Once a
 * majority has answered a round, each member is granted the time of its last answer before that round began: a member that
 * votes for a later view does so after it answered the round, so after that time. Only a holder's own clock is compared with
 * a granted time, so clocks need not be synchronized.
 */
final class LeaseCoordinator {
    private static final int ROUNDS_PER_LEASE = 5;
    private static final int FIRST_ROUNDS_PER_PERIOD = 4; // of a view, until a majority has a time to be granted

    private final Member self;
    private final FleetTiming timing;
    private final MessageSender sender;
    private final ViewLease ownLease;
    private final Map<String, Long> lastClocks = new HashMap<>(); // by member, of its last answer; cleared by a view
    private final Set<String> answeredRound = new HashSet<>(); // cleared by the next round
    private Map<String, Long> clocksBeforeRound = Map.of();
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
        lastClocks.clear();
        clocksBeforeRound = Map.of();
        answeredRound.clear();
        roundHasMajority = false;
        nextRoundUs = nowUs;
    }

    /**
     * Begins a round if one is due; called only where this member is the coordinator.
     *
     * @param voters the view's members, at the addresses at which they are reached now
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
        clocksBeforeRound = new HashMap<>(lastClocks);
        for (Member member : voters) {
            if (!member.isSameStart(self)) {
                sender.send(member.address(), new Message.Renew(view.era(), view.number(), round));
            }
        }
        grantOnMajority(voters, nowUs);
    }

    /** A voter of the view has answered a round. */
    void onRenewed(Member from, Message.Renewed renewed, long nowUs) {
        if (!view.hasId(renewed.era(), renewed.number()) || renewed.round() != round) {
            return;
        }
        recordAnswer(from, renewed.atUs());
        if (roundHasMajority) {
            grant(from);
        } else {
            grantOnMajority(view.members(), nowUs);
        }
    }

    private void recordAnswer(Member from, long clockUs) {
        lastClocks.put(from.name(), clockUs);
        answeredRound.add(from.name());
    }

    private void grantOnMajority(List<Member> members, long nowUs) {
        if (answeredRound.size() < view.majority()) {
            return;
        }
        roundHasMajority = true;
        for (Member member : members) {
            if (answeredRound.contains(member.name())) {
                grant(member);
            }
        }
        if (clocksBeforeRound.size() < view.majority()) { // a view's first round has no time to grant: the next is soon
            nextRoundUs = Math.min(nextRoundUs, nowUs + timing.probePeriodUs() / FIRST_ROUNDS_PER_PERIOD);
        }
    }

    private void grant(Member member) {
        Long sinceUs = clocksBeforeRound.get(member.name());
        if (sinceUs == null) {
            return;
        }
        if (member.name().equals(self.name())) {
            ownLease.extend(sinceUs);
        } else {
            sender.send(member.address(), new Message.LeaseGranted(view.era(), view.number(), sinceUs));
        }
    }
}
