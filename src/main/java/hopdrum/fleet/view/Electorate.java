package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.View;
import java.util.ArrayList;
import java.util.List;

/**
 * The voters on the successor of a settled view: the members of the settled view, identified by voter number. Before
 * the founding of the fleet, the voters are all founders, identified by name.
 */
final class Electorate {
    private final Member self;
    private final List<String> founders;
    private final FailureDetector failureDetector;

    Electorate(Member self, List<String> founders, FailureDetector failureDetector) {
        this.self = self;
        this.founders = founders.stream().sorted().toList();
        this.failureDetector = failureDetector;
    }

    /** Returns the founders' names, sorted. */
    List<String> founders() {
        return founders;
    }

    boolean isVoter(View view) {
        return mayVote(view, self);
    }

    /**
     * Whether a member's vote counts. A member that has lost its store has another voter number than in the view, and
     * its vote does not count.
     */
    boolean mayVote(View view, Member member) {
        if (isUnfounded(view)) {
            return founders.contains(member.name());
        }
        Member settled = view.member(member.name());
        return settled != null && settled.voter() == member.voter();
    }

    /**
     * Returns the number of votes needed. A founding needs all founders, because a founder that has lost its store does
     * not know what it has voted for before.
     */
    int quorum(View view) {
        return isUnfounded(view) ? founders.size() : view.majoritySize();
    }

    /** Returns the voters, at their latest known addresses; founders that are not known yet are left out. */
    List<Member> voters(View view) {
        List<Member> voters = new ArrayList<>();
        if (isUnfounded(view)) {
            for (String name : founders) {
                Member founder = failureDetector.latestStart(name);
                if (founder != null) {
                    voters.add(founder);
                }
            }
            return voters;
        }
        for (Member member : view.members()) {
            Member latest = failureDetector.latestStart(member.name());
            voters.add(latest != null && latest.voter() == member.voter() ? latest : member);
        }
        return voters;
    }

    /**
     * Whether this member is the coordinator: the first by name of the voters that are alive and not suspected. Several
     * members may consider themselves coordinator at once; ballots order their proposals. A member that was restarted
     * without its store cannot vote and is skipped.
     */
    boolean isCoordinator(View view) {
        for (Member voter : voters(view)) {
            boolean alive = failureDetector.state(voter.name()) == State.ALIVE;
            if (alive && voter.isSameStart(failureDetector.latestStart(voter.name()))) {
                return voter.name().equals(self.name());
            }
        }
        return false;
    }

    static boolean isUnfounded(View view) {
        return view.era() == 0;
    }
}
