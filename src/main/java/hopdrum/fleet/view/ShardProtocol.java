package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.View;
import java.util.List;
import java.util.Optional;

/**
 * The shard-sharing protocol as {@link Membership} drives it: the assignment rule, messages and ticks. All methods are
 * called under the lock of {@link Membership}. Times are microseconds of one monotonic clock.
 */
public interface ShardProtocol extends ShardAssigner {
    /** The protocol of a fleet without shards: no shard is assigned and the protocol's messages are ignored. */
    ShardProtocol NONE = new NoShards();

    /** Sets the failure detector, which tells which members are present; called once, before any other method. */
    void setFailureDetector(FailureDetector detector);

    /** Advances the protocol; called several times per probe period. */
    void tick(long nowUs);

    /** Handles a peer's statement of which settled view it holds. */
    void onPeerView(Member from, long era, long number);

    /** Handles a peer's agreement proposals. */
    void onAgreementProposals(Member from, Message.AgreementProposals proposals, long nowUs);

    /** Handles completed hand-overs of shards that a member of the same operator has announced. */
    void onShardsHandedOver(Member from, Message.ShardsHandedOver handedOver, long nowUs);

    /** The protocol of a fleet whose operators share no shards: a view with a shard assignment violates its rule. */
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
                    : Optional.of("a fleet without shards must not have a shard assignment");
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
