package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.View;
import java.util.List;

/** What is settled along with a view's members, by a rule that is the same at all of them. */
public interface ShardAssigner {
    /** What goes along with the next view of these members; null where nothing is divided. */
    ShardAssignment next(View before, List<Member> members);

    /** Null if a view that is proposed divides by the rule, else what does not. */
    String objection(View before, View proposed);

    /** A view is settled here from now on. */
    void settled(View view, long nowUs);

    /** Where nothing is divided. */
    ShardAssigner NONE = new ShardAssigner() {
        @Override
        public ShardAssignment next(View before, List<Member> members) {
            return null;
        }

        @Override
        public String objection(View before, View proposed) {
            return proposed.shardAssignment() == null ? null : "nothing is divided in this fleet";
        }

        @Override
        public void settled(View view, long nowUs) {}
    };
}
