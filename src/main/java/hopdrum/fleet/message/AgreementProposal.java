package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * An agreement that an operator proposes, and what the parties have answered.
 *
 * @param agreement what is proposed
 * @param proposer the operator that proposes it
 * @param answers by operator: empty where it agrees, else why it does not; an approval overrides a rejection, for good
 */
public record AgreementProposal(
        @JsonProperty("terms") PartnerAgreement agreement,
        @JsonProperty("by") String proposer,
        @JsonProperty("said") Map<String, String> answers) {
    private static final int MAX_ANSWER_LENGTH = 200;
    private static final String APPROVAL = "";

    /** Checks the components; throws IllegalArgumentException where one cannot be. */
    public AgreementProposal {
        Member.check(agreement != null && Member.isName(proposer), "an offer");
        Member.check(answers != null && answers.size() <= agreement.parties().size() + 1, "what was said");
        answers.forEach((operator, answer) -> Member.check(
                Member.isName(operator) && answer != null && answer.length() <= MAX_ANSWER_LENGTH, "a word"));
        answers = Collections.unmodifiableMap(new TreeMap<>(answers));
    }

    /**
     * Makes a proposal that its proposer alone has approved.
     *
     * @param agreement what is proposed
     * @param proposer the operator that proposes it
     * @return the proposal
     */
    public static AgreementProposal approvedByProposer(PartnerAgreement agreement, String proposer) {
        return new AgreementProposal(agreement, proposer, Map.of(proposer, APPROVAL));
    }

    /**
     * Returns whether an operator has approved.
     *
     * @param operator the operator
     * @return false also where it has not answered
     */
    public boolean isApprovedBy(String operator) {
        return APPROVAL.equals(answers.get(operator));
    }

    /**
     * Merges what two members know of one proposal: the same result in any order, however often.
     *
     * @param other the same agreement, as another member knows it
     * @return all answers of both
     */
    public AgreementProposal merged(AgreementProposal other) {
        Map<String, String> all = new TreeMap<>(answers);
        other.answers.forEach((operator, answer) -> all.merge(operator, answer, AgreementProposal::prevailing));
        return new AgreementProposal(
                agreement, proposer.compareTo(other.proposer) < 0 ? proposer : other.proposer, all);
    }

    private static String prevailing(String one, String other) {
        if (one.isEmpty() || other.isEmpty()) {
            return APPROVAL;
        }
        return one.compareTo(other) > 0 ? one : other;
    }

    /**
     * Adds an operator's approval.
     *
     * @param operator the operator that agrees
     * @return the proposal with it
     */
    public AgreementProposal withApproval(String operator) {
        return merged(new AgreementProposal(agreement, proposer, Map.of(operator, APPROVAL)));
    }

    /**
     * Adds an operator's rejection; an earlier approval takes precedence.
     *
     * @param operator the operator that does not agree
     * @param reason why, not empty; cut to the longest that a message may hold
     * @return the proposal with it
     */
    public AgreementProposal withRejection(String operator, String reason) {
        String kept = reason.length() > MAX_ANSWER_LENGTH ? reason.substring(0, MAX_ANSWER_LENGTH) : reason;
        return merged(new AgreementProposal(agreement, proposer, Map.of(operator, kept)));
    }
}
