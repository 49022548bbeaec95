package hopdrum.fleet.message;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * An agreement that an operator proposes, and what others have said of it.
 *
 * @param by the operator that proposes it
 * @param said by operator: empty where it agrees, else why it does not; an agreement outdoes a refusal, for good
 */
public record AgreementProposal(PartnerAgreement terms, String by, Map<String, String> said) {
    private static final int MOST_TEXT = 200;

    public AgreementProposal {
        Member.check(terms != null && Member.isName(by), "an offer");
        Member.check(said != null && said.size() <= terms.parties().size() + 1, "what was said");
        said.forEach((operator, text) ->
                Member.check(Member.isName(operator) && text != null && text.length() <= MOST_TEXT, "a word"));
        said = Collections.unmodifiableMap(new TreeMap<>(said));
    }

    public boolean agrees(String operator) {
        return "".equals(said.get(operator));
    }

    /** The same in whatever order, however often. */
    public AgreementProposal merged(AgreementProposal other) {
        Map<String, String> all = new TreeMap<>(said);
        other.said.forEach((operator, text) ->
                all.merge(operator, text, (a, b) -> a.isEmpty() || b.isEmpty() ? "" : a.compareTo(b) > 0 ? a : b));
        return new AgreementProposal(terms, by.compareTo(other.by) < 0 ? by : other.by, all);
    }

    public AgreementProposal with(String operator, String text) {
        return merged(new AgreementProposal(
                terms, by, Map.of(operator, text.length() > MOST_TEXT ? text.substring(0, MOST_TEXT) : text)));
    }
}
