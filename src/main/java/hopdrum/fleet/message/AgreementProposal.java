package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * An agreement that an operator proposes, with the answers of the parties so far.
 *
 * @param agreement the proposed agreement
 * @param proposer the operator that proposes the agreement
 * @param answers the answer by operator: empty for an approval, otherwise the reason for the rejection; an approval
 *     permanently overrides a rejection
 */
public record AgreementProposal(
        @JsonProperty("terms") PartnerAgreement agreement,
        @JsonProperty("by") String proposer,
        @JsonProperty("said") Map<String, String> answers) {
    private static final int MAX_ANSWER_LENGTH = 200;
    private static final String APPROVAL = "";

    /** Validates the components; throws IllegalArgumentException if one is invalid. */
    public AgreementProposal {
        Member.checkComponent(agreement != null && Member.isName(proposer), "proposal");
        Member.checkComponent(
                answers != null && answers.size() <= agreement.parties().size() + 1, "number of answers to a proposal");
        answers.forEach((operator, answer) -> Member.checkComponent(
                Member.isName(operator) && answer != null && answer.length() <= MAX_ANSWER_LENGTH,
                "answer to a proposal"));
        answers = Collections.unmodifiableMap(new TreeMap<>(answers));
    }

    /**
     * Creates a proposal that only its proposer has approved.
     *
     * @param agreement the proposed agreement
     * @param proposer the operator that proposes the agreement
     * @return the proposal with the proposer's approval as the only answer
     */
    public static AgreementProposal approvedByProposer(PartnerAgreement agreement, String proposer) {
        return new AgreementProposal(agreement, proposer, Map.of(proposer, APPROVAL));
    }

    /**
     * Returns whether an operator has approved the agreement.
     *
     * @param operator the operator
     * @return true if it has approved; false if it has rejected the agreement or has not answered
     */
    public boolean isApprovedBy(String operator) {
        return APPROVAL.equals(answers.get(operator));
    }

    /**
     * Merges the answers that two members know to one proposal. The merge is commutative, associative and idempotent.
     *
     * @param other a proposal of the same agreement, as another member knows it
     * @return the proposal with the answers of both
     */
    public AgreementProposal mergedWith(AgreementProposal other) {
        Map<String, String> all = new TreeMap<>(answers);
        other.answers.forEach((operator, answer) -> all.merge(operator, answer, AgreementProposal::prevailingAnswer));
        return new AgreementProposal(
                agreement, proposer.compareTo(other.proposer) < 0 ? proposer : other.proposer, all);
    }

    private static String prevailingAnswer(String one, String other) {
        if (one.isEmpty() || other.isEmpty()) {
            return APPROVAL;
        }
        return one.compareTo(other) > 0 ? one : other;
    }

    /**
     * Adds an operator's approval.
     *
     * @param operator the operator that approves
     * @return the proposal with the approval
     */
    public AgreementProposal withApproval(String operator) {
        return mergedWith(new AgreementProposal(agreement, proposer, Map.of(operator, APPROVAL)));
    }

    /**
     * Adds an operator's rejection; an earlier approval takes precedence.
     *
     * @param operator the operator that rejects the agreement
     * @param reason why the operator rejects it, not empty; truncated to the longest answer that a message may hold
     * @return the proposal with the rejection
     */
    public AgreementProposal withRejection(String operator, String reason) {
        String truncated = reason.length() > MAX_ANSWER_LENGTH ? reason.substring(0, MAX_ANSWER_LENGTH) : reason;
        return mergedWith(new AgreementProposal(agreement, proposer, Map.of(operator, truncated)));
    }
}
