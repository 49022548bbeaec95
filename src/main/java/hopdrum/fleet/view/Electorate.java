package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.View;
import java.util.ArrayList;
import java.util.List;

/**
 * The voters on the view that follows a settled one: its members, by voter number; before the founding, all
 * founders by name.
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

    /** The founders' names, sorted. */
    List<String> founders() {
        return founders;
    }

    boolean isVoter(View view) {
        return mayVote(view, self);
    }

    /** A member whose store was lost has another voter's number than in the view: its vote does not count. */
    boolean mayVote(View view, Member member) {
        if (isUnfounded(view)) {
            return founders.contains(member.name());
        }
        Member settled = view.member(member.name());
        return settled != null && settled.voter() == member.voter();
    }

    /** A founder without its store cannot know what it agreed to before: a founding takes all of them. */
    int quorum(View view) {
        return isUnfounded(view) ? founders.size() : view.majority();
    }

    /** The voters, with their present addresses. */
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
     * Whether this member coordinates: it is the first by name of the voters that are not even suspected. Several
     * members may coordinate at once; ballots order them. One that was restarted without its store cannot vote and is skipped.
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
