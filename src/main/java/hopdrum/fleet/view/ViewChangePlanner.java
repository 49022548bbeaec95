package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.View;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Compares the settled view with the members that the failure detector reports, and decides which view to propose next.
 * Changes are proposed once they have been stable for a probe period and no member is suspected, and so are batched
 * (after Rapid, Suresh and others 2018). The wait is bounded.
 */
final class ViewChangePlanner {
    private static final int STABLE_PERIODS = 1;
    private static final int MAX_BATCH_PERIODS = 6; // then a change is proposed even if it is not stable yet
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Member self;
    private final FleetTiming timing;
    private final Electorate electorate;
    private final FailureDetector failureDetector;
    private final ShardAssigner shardAssigner;
    private List<Member> targetMembers; // of the next view; null if no change is needed
    private long targetSinceUs;
    private long changeSinceUs = NEVER;

    ViewChangePlanner(
            MemberContext context,
            Electorate electorate,
            FailureDetector failureDetector,
            ShardAssigner shardAssigner) {
        this.self = context.self();
        this.timing = context.timing();
        this.electorate = electorate;
        this.failureDetector = failureDetector;
        this.shardAssigner = shardAssigner;
    }

    /** Discards the tracked change: there is none any more, or a new view has been settled. */
    void reset() {
        targetMembers = null;
        changeSinceUs = NEVER;
    }

    /**
     * Checks for changes; called in each tick of a voter.
     *
     * @param view the settled view
     * @param mayPropose whether the proposer is idle and not backing off
     * @return the view to propose now, if any
     */
    Optional<View> nextView(View view, boolean mayPropose, long nowUs) {
        Optional<List<Member>> members = Electorate.isUnfounded(view) ? foundingMembers() : nextMembers(view, nowUs);
        boolean coordinator = electorate.isCoordinator(view);
        ShardAssignment assignment = coordinator && members.isPresent()
                ? shardAssigner.nextAssignment(view, members.get())
                : view.shardAssignment();
        if (members.isEmpty() || !isChange(view, members.get(), assignment)) {
            reset();
            return Optional.empty();
        }
        trackTarget(members.get(), nowUs);
        if (!isChangeDue(view, nowUs) || !mayPropose || !coordinator) {
            return Optional.empty();
        }
        long era = Electorate.isUnfounded(view) ? System.currentTimeMillis() * 1000 : view.era();
        return Optional.of(new View(era, view.number() + 1, targetMembers, assignment));
    }

    private static boolean isChange(View view, List<Member> members, ShardAssignment assignment) {
        boolean reassigns = assignment != null && !assignment.isEquivalentTo(view.shardAssignment());
        return reassigns || !haveSameStarts(members, view.members());
    }

    private void trackTarget(List<Member> members, long nowUs) {
        if (targetMembers == null || !haveSameStarts(members, targetMembers)) {
            targetMembers = members;
            targetSinceUs = nowUs;
        }
        if (changeSinceUs == NEVER) {
            changeSinceUs = nowUs;
        }
    }

    private boolean isChangeDue(View view, long nowUs) {
        boolean stable = nowUs - targetSinceUs >= STABLE_PERIODS * timing.probePeriodUs() && !hasSuspect(view);
        return stable || nowUs - changeSinceUs >= MAX_BATCH_PERIODS * timing.probePeriodUs();
    }

    private boolean hasSuspect(View view) {
        return view.members().stream().anyMatch(member -> failureDetector.state(member.name()) == State.SUSPECT);
    }

    /** Returns the members of a fleet's first view; empty until all founders are alive. */
    private Optional<List<Member>> foundingMembers() {
        List<Member> members = new ArrayList<>();
        for (String name : electorate.founders()) {
            Member founder = failureDetector.latestStart(name);
            if (founder == null || failureDetector.state(name) != State.ALIVE) {
                return Optional.empty();
            }
            members.add(founder);
        }
        return Optional.of(members);
    }

    private Optional<List<Member>> nextMembers(View view, long nowUs) {
        List<Member> next = new ArrayList<>();
        for (Member member : view.members()) {
            Member latest = failureDetector.latestStart(member.name());
            State state = failureDetector.state(member.name());
            boolean restarted = latest != null && latest.start() > member.start();
            if (restarted && state == State.ALIVE) {
                next.add(latest);
            } else if (latest == null
                    || latest.start() < member.start()
                    || state == State.ALIVE
                    || state == State.SUSPECT) {
                next.add(member); // no later start is known, or the suspicion is undecided
            }
        }
        for (Member member : failureDetector.presentMembers()) {
            if (view.member(member.name()) == null && mayJoin(member, nowUs)) {
                next.add(member);
            }
        }
        next.sort(Comparator.comparing(Member::name));
        return Optional.of(next);
    }

    private boolean mayJoin(Member member, long nowUs) {
        long aliveForUs = nowUs - failureDetector.stateSinceUs(member.name());
        return failureDetector.state(member.name()) == State.ALIVE
                && (member.isSameStart(self) || aliveForUs >= STABLE_PERIODS * timing.probePeriodUs());
    }

    private static boolean haveSameStarts(List<Member> first, List<Member> second) {
        if (first.size() != second.size()) {
            return false;
        }
        for (int i = 0; i < first.size(); i++) {
            if (!first.get(i).isSameStart(second.get(i))) {
                return false;
            }
        }
        return true;
    }
}
