package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.View;
import java.util.List;
import java.util.Optional;

/**
 * The shard-sharing protocol as {@link Membership} drives it: the assignment rule, messages and
 * ticks. Called under the lock of {@link Membership}. Times are microseconds of one monotonic clock.
 */
public interface ShardProtocol extends ShardAssigner {
    /** The protocol of a fleet without shards: it assigns nothing and ignores its messages. */
    ShardProtocol NONE = new NoShards();

    /** Called once, before anything else, with the detector of which members are present. */
    void setFailureDetector(FailureDetector detector);

    /** Called several times a probe period. */
    void tick(long nowUs);

    /** A peer has named the settled view that it holds. */
    void onPeerView(Member from, long era, long number);

    /** A peer's agreement proposals have arrived. */
    void onAgreementProposals(Member from, Message.AgreementProposals proposals, long nowUs);

    /** A member of the same operator has announced completed hand-overs of shards. */
    void onShardsHandedOver(Member from, Message.ShardsHandedOver handedOver, long nowUs);

    /** A fleet whose operators share no shards: a view with an assignment is refused. */
    final class NoShards implements ShardProtocol {
        private NoShards() {}

        @Override
        public ShardAssignment nextAssignment(View before, List<Member> members) {
            return null;
        }

        @Override
        public Optional<String> violation(View before, View proposed) {
            return proposed.shardAssignment() == null
                    ? Optional.empty()
                    : Optional.of("nothing is divided in this fleet");
        }

        @Override
        public void onViewSettled(View view, long nowUs) {}

        @Override
        public void setFailureDetector(FailureDetector detector) {}

        @Override
        public void tick(long nowUs) {}

        @Override
        public void onPeerView(Member from, long era, long number) {}

        @Override
        public void onAgreementProposals(Member from, Message.AgreementProposals proposals, long nowUs) {}

        @Override
        public void onShardsHandedOver(Member from, Message.ShardsHandedOver handedOver, long nowUs) {}
    }
}
