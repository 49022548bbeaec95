package hopdrum.fleet.shards;

import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.View;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The rule that assigns the shards to operators in the view after a settled one. The assignment is a pure function of
 * the settled view, the operators that are present, an agreement and the proposer's wall clock. All members therefore
 * compute the same assignment, and a voter can reject a proposal that does not follow from the rule. Immutable.
 */
public final class ShardAssignmentRule {
    private static final long MAX_CLOCK_SKEW_MS = 10_000; // tolerated between the wall clocks of two members

    private final int shardCount;
    private final long maxAloneMs;

    /**
     * Creates the rule of one fleet.
     *
     * @param shardCount the number of shards
     * @param maxAloneMs the longest that an agreement may let an operator act alone, milliseconds
     */
    public ShardAssignmentRule(int shardCount, long maxAloneMs) {
        this.shardCount = shardCount;
        this.maxAloneMs = maxAloneMs;
    }

    /**
     * Returns the longest that an agreement may let an operator act alone.
     *
     * @return milliseconds
     */
    public long maxAloneMs() {
        return maxAloneMs;
    }

    /**
     * Returns whether an agreement may come into force with the next view.
     *
     * @param before the settled view
     * @param agreement the agreement
     * @param agreedBy the operators that approve the agreement
     * @param nowMs the time of the wall clock, milliseconds
     * @return true if it is the next revision, its start has come, and it is either valid and approved by all parties
     *     or a valid notice by one of them
     */
    public boolean mayComeIntoForce(View before, PartnerAgreement agreement, List<String> agreedBy, long nowMs) {
        PartnerAgreement inForce = before.shardAssignment() == null
                ? null
                : before.shardAssignment().agreement();
        return agreement.revision() == (inForce == null ? 1 : inForce.revision() + 1)
                && nowMs >= agreement.fromMs()
                && (isNotice(inForce, agreement, agreedBy, nowMs)
                        || (agreement.faults(nowMs, maxAloneMs).isEmpty()
                                && agreedBy.containsAll(agreement.operators())));
    }

    /**
     * Returns whether an agreement is a notice. With a notice, one party alone ends the agreement in force after the
     * notice period that all have agreed to; a notice changes no other term.
     */
    private static boolean isNotice(
            PartnerAgreement inForce, PartnerAgreement agreement, List<String> agreedBy, long nowMs) {
        return inForce != null
                && agreedBy.stream().anyMatch(operator -> inForce.party(operator) != null)
                && agreement.untilMs() < inForce.untilMs()
                && agreement.untilMs() >= nowMs + inForce.noticeMs() - MAX_CLOCK_SKEW_MS
                && agreement.equals(inForce.nextRevisionEndingAt(agreement.untilMs()));
    }

    /**
     * Checks whether the shard assignment of a proposed view follows the rule.
     *
     * @param before the settled view
     * @param proposed the view that is proposed to follow it
     * @param nowMs the time of the wall clock, milliseconds
     * @return how the assignment violates the rule; empty if it follows the rule
     */
    public Optional<String> violation(View before, View proposed, long nowMs) {
        ShardAssignment next = proposed.shardAssignment();
        ShardAssignment previous = before.shardAssignment();
        if (next == null) {
            return Optional.of("the view has no shard assignment");
        }
        if (next.asOfMs() > nowMs + MAX_CLOCK_SKEW_MS
                || (previous != null && next.asOfMs() < previous.asOfMs() - MAX_CLOCK_SKEW_MS)) {
            return Optional.of("the time of the shard assignment is in the future, or before that of the previous one");
        }
        boolean isAmended = !Objects.equals(next.agreement(), previous == null ? null : previous.agreement());
        if (isAmended
                && (next.agreement() == null
                        || !mayComeIntoForce(before, next.agreement(), next.agreedBy(), next.asOfMs()))) {
            return Optional.of("the agreement of the shard assignment may not come into force");
        }
        ShardAssignment expected = nextAssignment(
                before, proposed.operators(), isAmended ? next.agreement() : null, next.agreedBy(), next.asOfMs());
        return expected.equals(next)
                ? Optional.empty()
                : Optional.of("the shard assignment does not follow the assignment rule");
    }

    /**
     * Computes the shard assignment of the view after a settled one.
     *
     * @param before the settled view
     * @param present the operators that have a member in the next view
     * @param ready the agreement that comes into force; null if none does
     * @param agreedBy the operators that approve that agreement
     * @param nowMs the time of the wall clock, milliseconds
     * @return the next assignment
     */
    public ShardAssignment nextAssignment(
            View before, Set<String> present, PartnerAgreement ready, List<String> agreedBy, long nowMs) {
        ShardAssignment previous = before.shardAssignment();
        if (ready != null) {
            boolean isExpired = nowMs >= ready.untilMs();
            return new ShardRebalance(shardCount, before, present, ready, isExpired, nowMs).assignment(agreedBy);
        }
        PartnerAgreement agreement = previous == null ? null : previous.agreement();
        boolean isExpired = agreement != null && (nowMs >= agreement.untilMs() || previous.expired());
        return new ShardRebalance(shardCount, before, present, agreement, isExpired, nowMs)
                .assignment(previous == null ? List.of() : previous.agreedBy());
    }
}
