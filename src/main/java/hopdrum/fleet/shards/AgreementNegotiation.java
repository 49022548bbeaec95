package hopdrum.fleet.shards;

import hopdrum.fleet.message.AgreementProposal;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import hopdrum.fleet.message.View;
import hopdrum.fleet.view.DecisionLog;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The negotiation of agreements between operators, as one member knows it: proposals, approvals, rejections and counter
 * proposals. One member represents its operator: the first by name of those that are alive. What all parties approve
 * comes into force with the next view. Not thread-safe.
 */
final class AgreementNegotiation {
    private static final long PROPOSAL_TTL_US = 60_000_000; // since its own operator last sent it

    private final Member self;
    private final ShardAssignmentRule rule;
    private final DecisionLog log;
    private final Map<PartnerAgreement, AgreementProposal> proposals =
            new LinkedHashMap<>(); // tick() removes those in force or expired; bounded by Message.MAX_PROPOSALS
    private final Map<PartnerAgreement, Long> refreshedUs = new LinkedHashMap<>(); // the same keys
    private AgreementTerms terms = AgreementTerms.NONE;
    private PartnerAgreement ownNotice; // the early end that this member proposed; null if none
    private PartnerAgreement ownCounterProposal; // null if none

    AgreementNegotiation(Member self, ShardAssignmentRule rule, DecisionLog log) {
        this.self = self;
        this.rule = rule;
        this.log = log;
    }

    /** Replaces what this operator proposes and would agree to. */
    void updateTerms(AgreementTerms newTerms) {
        terms = newTerms;
        ownCounterProposal = null;
        log.event(
                "terms",
                "proposes",
                newTerms.proposal() == null ? "" : toLogFields(newTerms.proposal()),
                "gives_notice",
                newTerms.givesNotice());
    }

    /** The proposals to send to peers: of this operator's own, only those not withdrawn. */
    List<AgreementProposal> proposals() {
        return proposals.values().stream()
                .filter(proposal -> !proposal.proposer().equals(self.operator()) || isOwn(proposal.agreement()))
                .toList();
    }

    private boolean isOwn(PartnerAgreement agreement) {
        return agreement.equals(terms.proposal())
                || agreement.equals(ownNotice)
                || agreement.equals(ownCounterProposal);
    }

    /** A proposal that may come into force after this view; null if there is none. All members choose the same one. */
    AgreementProposal readyProposal(View view, long nowMs) {
        AgreementProposal first = null;
        for (AgreementProposal proposal : proposals.values()) {
            if (rule.mayComeIntoForce(view, proposal.agreement(), approversOf(proposal), nowMs)
                    && (first == null
                            || proposal.agreement()
                                            .toString()
                                            .compareTo(first.agreement().toString())
                                    < 0)) {
                first = proposal;
            }
        }
        return first;
    }

    static List<String> approversOf(AgreementProposal proposal) {
        return proposal.answers().keySet().stream()
                .filter(proposal::isApprovedBy)
                .toList();
    }

    void merge(Member from, Message.AgreementProposals received, long nowUs) {
        for (AgreementProposal proposal : received.proposals()) {
            merge(proposal, from.operator().equals(proposal.proposer()), nowUs);
        }
    }

    /** @param fromProposer whether its own operator sends it: only that refreshes its time to live */
    private void merge(AgreementProposal received, boolean fromProposer, long nowUs) {
        PartnerAgreement agreement = received.agreement();
        AgreementProposal known = proposals.get(agreement);
        if (known == null && proposals.size() >= Message.MAX_PROPOSALS) {
            return; // guards against a peer that floods: the known ones expire by themselves
        }
        AgreementProposal merged = known == null ? received : known.mergedWith(received);
        if (!merged.equals(known)) {
            proposals.put(agreement, merged);
            log.event(
                    known == null ? "offer" : "offer_said",
                    "terms",
                    toLogFields(agreement),
                    "by",
                    received.proposer(),
                    "said",
                    merged.answers());
        }
        if (fromProposer) {
            refreshedUs.put(agreement, nowUs);
        } else {
            refreshedUs.putIfAbsent(agreement, nowUs);
        }
    }

    /** @param isRepresentative whether this member represents its operator now */
    void tick(View view, boolean isRepresentative, long nowMs, long nowUs) {
        PartnerAgreement inForce =
                view.shardAssignment() == null ? null : view.shardAssignment().agreement();
        int revision = inForce == null ? 0 : inForce.revision();
        removeExpired(revision, nowMs, nowUs);
        if (!isRepresentative) {
            return;
        }
        refreshedUs.replaceAll((agreement, atUs) -> isOwn(agreement) ? nowUs : atUs);
        proposeOwn(revision, nowMs, nowUs);
        if (terms.givesNotice() && inForce != null && inForce.party(self.operator()) != null) {
            giveNotice(inForce, nowMs, nowUs);
        }
        for (AgreementProposal proposal : List.copyOf(proposals.values())) {
            if (proposal.agreement().party(self.operator()) != null && !proposal.isApprovedBy(self.operator())) {
                answer(proposal, revision, nowMs, nowUs);
            }
        }
    }

    private void removeExpired(int revision, long nowMs, long nowUs) {
        proposals
                .keySet()
                .removeIf(agreement -> agreement.revision() <= revision
                        || agreement.untilMs() <= nowMs
                        || nowUs - refreshedUs.get(agreement) > PROPOSAL_TTL_US);
        refreshedUs.keySet().retainAll(proposals.keySet());
    }

    private void proposeOwn(int revision, long nowMs, long nowUs) {
        PartnerAgreement own = terms.proposal();
        if (own != null
                && own.revision() == revision + 1
                && !proposals.containsKey(own)
                && own.faults(nowMs, rule.maxAloneMs()).isEmpty()) {
            merge(AgreementProposal.approvedByProposer(own, self.operator()), true, nowUs);
            logApproval(own);
        }
    }

    /** Proposes that the agreement in force ends after its notice period, unless such a proposal is there. */
    private void giveNotice(PartnerAgreement inForce, long nowMs, long nowUs) {
        long endMs = nowMs + inForce.noticeMs();
        boolean isProposed = proposals.keySet().stream()
                .anyMatch(agreement ->
                        agreement.untilMs() <= endMs && agreement.parties().equals(inForce.parties()));
        if (endMs >= inForce.untilMs() || isProposed) {
            return;
        }
        ownNotice = inForce.nextRevisionEndingAt(endMs);
        merge(AgreementProposal.approvedByProposer(ownNotice, self.operator()), true, nowUs);
        log.event("gives_notice", "until_ms", ownNotice.untilMs());
        logApproval(ownNotice);
    }

    private void answer(AgreementProposal proposal, int revision, long nowMs, long nowUs) {
        List<String> objections = objections(proposal, revision, nowMs);
        if (objections.isEmpty()) {
            merge(proposal.withApproval(self.operator()), false, nowUs);
            logApproval(proposal.agreement());
            return;
        }
        if (proposal.answers().containsKey(self.operator())) {
            return; // it has been rejected already
        }
        String reason = String.join("; ", objections);
        merge(proposal.withRejection(self.operator(), reason), false, nowUs);
        log.event("refuses", "terms", toLogFields(proposal.agreement()), "why", reason);
        if (!proposal.proposer().equals(self.operator())) {
            proposeCounter(proposal, revision, nowMs, nowUs);
        }
    }

    private void proposeCounter(AgreementProposal proposal, int revision, long nowMs, long nowUs) {
        PartnerAgreement counter = terms.counterProposal(proposal.agreement(), self.operator());
        if (counter != null
                && !proposals.containsKey(counter)
                && counter.faults(nowMs, rule.maxAloneMs()).isEmpty()
                && objections(new AgreementProposal(counter, self.operator(), Map.of()), revision, nowMs)
                        .isEmpty()) {
            ownCounterProposal = counter;
            merge(AgreementProposal.approvedByProposer(counter, self.operator()), true, nowUs);
            log.event("counters", "terms", toLogFields(counter));
            logApproval(counter);
        }
    }

    /** Why this operator does not approve; each reason names the term that it is about. */
    private List<String> objections(AgreementProposal proposal, int revision, long nowMs) {
        PartnerAgreement agreement = proposal.agreement();
        List<String> reasons = new ArrayList<>(agreement.faults(nowMs, rule.maxAloneMs()));
        if (agreement.revision() != revision + 1) {
            reasons.add("revision: " + agreement.revision() + ", where " + revision + " is in force");
        }
        for (AgreementProposal other : proposals.values()) {
            if (other.proposer().equals(proposal.proposer())
                    && !other.agreement().equals(agreement)
                    && other.agreement().revision() == agreement.revision()
                    && other.isApprovedBy(self.operator())) {
                reasons.add("revision: " + proposal.proposer() + " has proposed another " + agreement.revision()
                        + ", which is agreed to here");
            }
        }
        reasons.addAll(terms.objections(agreement, self.operator(), nowMs));
        return reasons;
    }

    private void logApproval(PartnerAgreement agreement) {
        log.event("agrees", "terms", toLogFields(agreement));
    }

    /** All terms of an agreement, in the same form at all members. */
    static Map<String, Object> toLogFields(PartnerAgreement agreement) {
        Map<String, Object> parties = new TreeMap<>();
        for (Party party : agreement.parties()) {
            parties.put(party.operator(), List.of(party.capacity(), party.share(), party.floor()));
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", agreement.name());
        fields.put("revision", agreement.revision());
        fields.put("parties", parties);
        fields.put("from_ms", agreement.fromMs());
        fields.put("until_ms", agreement.untilMs());
        fields.put("alone_ms", agreement.aloneMs());
        fields.put("stand_in", agreement.standIn());
        fields.put("moves", agreement.maxMovesPerEpoch());
        fields.put("epoch_ms", agreement.epochMs());
        fields.put("notice_ms", agreement.noticeMs());
        return fields;
    }
}
