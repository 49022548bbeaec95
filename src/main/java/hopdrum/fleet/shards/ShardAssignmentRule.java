package hopdrum.fleet.shards;

import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.View;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The rule by which shards are assigned after a view: a pure function of that view, of which operators are present, of an
 * agreement and of the proposer's wall clock. All members come to the same assignment, and a voter can reject a proposal
 * that does not follow from the rule. Immutable.
 */
public final class ShardAssignmentRule {
    private static final long MAX_CLOCK_SKEW_MS = 10_000;

    private final int shards;
    private final long maxAloneMs;

    /**
     * Makes the rule of one fleet.
     *
     * @param shards the number of shards
     * @param maxAloneMs the longest that an agreement may let an operator act alone, milliseconds
     */
    public ShardAssignmentRule(int shards, long maxAloneMs) {
        this.shards = shards;
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
     * Returns whether an agreement can come into force with the next view.
     *
     * @param before the settled view
     * @param agreement the agreement
     * @param agreedBy the operators that approve it
     * @param nowMs the wall clock, milliseconds
     * @return true for the next revision that all parties approve, or that is a valid notice by one of them
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

    /** One party alone may end an agreement after the notice period that all have agreed to; nothing else may change. */
    private static boolean isNotice(
            PartnerAgreement inForce, PartnerAgreement agreement, List<String> agreedBy, long nowMs) {
        return inForce != null
                && agreedBy.stream().anyMatch(operator -> inForce.party(operator) != null)
                && agreement.untilMs() < inForce.untilMs()
                && agreement.untilMs() >= nowMs + inForce.noticeMs() - MAX_CLOCK_SKEW_MS
                && agreement.equals(inForce.nextRevisionEndingAt(agreement.untilMs()));
    }

    /**
     * Checks a proposed view's shard assignment.
     *
     * @param before the settled view
     * @param proposed the view that is proposed to follow it
     * @param nowMs the wall clock, milliseconds
     * @return how it violates the rule; empty if it follows from it
     */
    public Optional<String> violation(View before, View proposed, long nowMs) {
        ShardAssignment next = proposed.shardAssignment();
        ShardAssignment last = before.shardAssignment();
        if (next == null) {
            return Optional.of("it divides nothing");
        }
        if (next.asOfMs() > nowMs + MAX_CLOCK_SKEW_MS
                || (last != null && next.asOfMs() < last.asOfMs() - MAX_CLOCK_SKEW_MS)) {
            return Optional.of("its time cannot be");
        }
        boolean isAmended = !Objects.equals(next.agreement(), last == null ? null : last.agreement());
        if (isAmended
                && (next.agreement() == null
                        || !mayComeIntoForce(before, next.agreement(), next.agreedBy(), next.asOfMs()))) {
            return Optional.of("its agreement is not one that all parties have agreed to");
        }
        ShardAssignment expected =
                next(before, proposed.operators(), isAmended ? next.agreement() : null, next.agreedBy(), next.asOfMs());
        return expected.equals(next) ? Optional.empty() : Optional.of("its shards are not divided by the rule");
    }

    /**
     * Computes the assignment that follows a view's.
     *
     * @param before the settled view
     * @param present the operators that have a member in the next view
     * @param ready an agreement that may come into force; null if there is none
     * @param agreedBy the operators that approve it
     * @param nowMs the wall clock, milliseconds
     * @return the next assignment
     */
    public ShardAssignment next(
            View before, Set<String> present, PartnerAgreement ready, List<String> agreedBy, long nowMs) {
        ShardAssignment last = before.shardAssignment();
        if (ready != null) {
            boolean isExpired = nowMs >= ready.untilMs();
            return new ShardRebalance(shards, before, present, ready, isExpired, nowMs).assignment(agreedBy);
        }
        PartnerAgreement agreement = last == null ? null : last.agreement();
        boolean isExpired = agreement != null && (nowMs >= agreement.untilMs() || last.expired());
        return new ShardRebalance(shards, before, present, agreement, isExpired, nowMs)
                .assignment(last == null ? List.of() : last.agreedBy());
    }
}
