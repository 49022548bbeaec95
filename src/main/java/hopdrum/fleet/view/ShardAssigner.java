package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.View;
import java.util.List;
import java.util.Optional;

/**
 * Computes and checks the shard assignment that is settled along with a view's members, by a rule that all members
 * share. All methods are called under the lock of {@link Membership}.
 */
public interface ShardAssigner {
    /**
     * Returns the assignment to propose along with the next view.
     *
     * @param before the present settled view
     * @param members the next view's members, sorted by name
     * @return the assignment; null in a fleet without shards
     */
    ShardAssignment nextAssignment(View before, List<Member> members);

    /**
     * Checks a proposed view's assignment against the rule, before this member votes for it.
     *
     * @param before the present settled view
     * @param proposed the view that is to follow it
     * @return how the assignment violates the rule, for the log; empty if it does not
     */
    Optional<String> violation(View before, View proposed);

    /**
     * Called when a view has been settled.
     *
     * @param view the view that this member holds from now on
     * @param nowUs monotonic time, microseconds
     */
    void onViewSettled(View view, long nowUs);
}
