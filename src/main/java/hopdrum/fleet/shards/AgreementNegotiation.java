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
 * The negotiation of agreements between operators, as one member knows it: proposals, approvals, rejections and
 * counter-proposals. Each operator is represented by its first member by name that is alive. An agreement that all
 * parties have approved comes into force with the next view. Not thread-safe.
 */
final class AgreementNegotiation {
    private static final long PROPOSAL_TTL_US = 60_000_000; // since the proposer's operator last sent the proposal

    private final Member self;
    private final ShardAssignmentRule rule;
    private final DecisionLog log;
    private final Map<PartnerAgreement, AgreementProposal> proposals =
            new LinkedHashMap<>(); // at most Message.MAX_PROPOSALS; tick() removes expired ones and those in force
    private final Map<PartnerAgreement, Long> lastRefreshedUs = new LinkedHashMap<>(); // has the keys of proposals
    private AgreementTerms terms = AgreementTerms.NONE;
    private PartnerAgreement ownNotice; // the proposed revision that ends the agreement in force early; null if none
    private PartnerAgreement ownCounterProposal; // null if this member has made none

    AgreementNegotiation(Member self, ShardAssignmentRule rule, DecisionLog log) {
        this.self = self;
        this.rule = rule;
        this.log = log;
    }

    /** Replaces this operator's proposal and acceptance limits. */
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

    /** Returns the proposals to send to peers: those of other operators, and the own ones that are not withdrawn. */
    List<AgreementProposal> proposalsToSend() {
        return proposals.values().stream()
                .filter(proposal -> !proposal.proposer().equals(self.operator()) || isOwn(proposal.agreement()))
                .toList();
    }

    private boolean isOwn(PartnerAgreement agreement) {
        return agreement.equals(terms.proposal())
                || agreement.equals(ownNotice)
                || agreement.equals(ownCounterProposal);
    }

    /**
     * Returns the proposal that is to come into force after a view; null if there is none. Members that know the same
     * proposals select the same one.
     */
    AgreementProposal readyProposal(View view, long nowMs) {
        AgreementProposal selected = null;
        for (AgreementProposal proposal : proposals.values()) {
            if (rule.mayComeIntoForce(view, proposal.agreement(), approversOf(proposal), nowMs)
                    && (selected == null
                            || proposal.agreement()
                                            .toString()
                                            .compareTo(selected.agreement().toString())
                                    < 0)) {
                selected = proposal;
            }
        }
        return selected;
    }

    /** Returns the operators that have approved a proposal. */
    static List<String> approversOf(AgreementProposal proposal) {
        return proposal.answers().keySet().stream()
                .filter(proposal::isApprovedBy)
                .toList();
    }

    /** Merges the proposals that a peer has sent. */
    void merge(Member from, Message.AgreementProposals received, long nowUs) {
        for (AgreementProposal proposal : received.proposals()) {
            merge(proposal, from.operator().equals(proposal.proposer()), nowUs);
        }
    }

    /**
     * Merges one proposal into the known ones.
     *
     * @param fromProposer whether the proposer's operator has sent the proposal; only that refreshes the time to live
     */
    private void merge(AgreementProposal received, boolean fromProposer, long nowUs) {
        PartnerAgreement agreement = received.agreement();
        AgreementProposal known = proposals.get(agreement);
        if (known == null && proposals.size() >= Message.MAX_PROPOSALS) {
            return; // bounds the memory that a flooding peer can take; the known proposals expire without its help
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
            lastRefreshedUs.put(agreement, nowUs);
        } else {
            lastRefreshedUs.putIfAbsent(agreement, nowUs);
        }
    }

    /**
     * Removes expired proposals. The representative of an operator also proposes and answers for it.
     *
     * @param isRepresentative whether this member represents its operator now
     */
    void tick(View view, boolean isRepresentative, long nowMs, long nowUs) {
        PartnerAgreement inForce =
                view.shardAssignment() == null ? null : view.shardAssignment().agreement();
        int revisionInForce = inForce == null ? 0 : inForce.revision();
        removeExpired(revisionInForce, nowMs, nowUs);
        if (!isRepresentative) {
            return;
        }
        lastRefreshedUs.replaceAll((agreement, atUs) -> isOwn(agreement) ? nowUs : atUs);
        proposeOwnAgreement(revisionInForce, nowMs, nowUs);
        if (terms.givesNotice() && inForce != null && inForce.party(self.operator()) != null) {
            giveNotice(inForce, nowMs, nowUs);
        }
        for (AgreementProposal proposal : List.copyOf(proposals.values())) {
            if (proposal.agreement().party(self.operator()) != null && !proposal.isApprovedBy(self.operator())) {
                answerProposal(proposal, revisionInForce, nowMs, nowUs);
            }
        }
    }

    private void removeExpired(int revisionInForce, long nowMs, long nowUs) {
        proposals
                .keySet()
                .removeIf(agreement -> agreement.revision() <= revisionInForce
                        || agreement.untilMs() <= nowMs
                        || nowUs - lastRefreshedUs.get(agreement) > PROPOSAL_TTL_US);
        lastRefreshedUs.keySet().retainAll(proposals.keySet());
    }

    private void proposeOwnAgreement(int revisionInForce, long nowMs, long nowUs) {
        PartnerAgreement own = terms.proposal();
        if (own != null
                && own.revision() == revisionInForce + 1
                && !proposals.containsKey(own)
                && own.faults(nowMs, rule.maxAloneMs()).isEmpty()) {
            merge(AgreementProposal.approvedByProposer(own, self.operator()), true, nowUs);
            logApproval(own);
        }
    }

    /** Proposes that the agreement in force ends after its notice period, unless such a proposal is known. */
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

    private void answerProposal(AgreementProposal proposal, int revisionInForce, long nowMs, long nowUs) {
        List<String> objections = objections(proposal, revisionInForce, nowMs);
        if (objections.isEmpty()) {
            merge(proposal.withApproval(self.operator()), false, nowUs);
            logApproval(proposal.agreement());
            return;
        }
        if (proposal.answers().containsKey(self.operator())) {
            return; // this operator has already rejected the proposal
        }
        String reason = String.join("; ", objections);
        merge(proposal.withRejection(self.operator(), reason), false, nowUs);
        log.event("refuses", "terms", toLogFields(proposal.agreement()), "why", reason);
        if (!proposal.proposer().equals(self.operator())) {
            proposeCounterAgreement(proposal, revisionInForce, nowMs, nowUs);
        }
    }

    private void proposeCounterAgreement(AgreementProposal proposal, int revisionInForce, long nowMs, long nowUs) {
        PartnerAgreement counter = terms.counterProposal(proposal.agreement(), self.operator());
        if (counter != null
                && !proposals.containsKey(counter)
                && counter.faults(nowMs, rule.maxAloneMs()).isEmpty()
                && objections(new AgreementProposal(counter, self.operator(), Map.of()), revisionInForce, nowMs)
                        .isEmpty()) {
            ownCounterProposal = counter;
            merge(AgreementProposal.approvedByProposer(counter, self.operator()), true, nowUs);
            log.event("counters", "terms", toLogFields(counter));
            logApproval(counter);
        }
    }

    /** Returns why this operator rejects a proposal: one reason for each term, starting with the name of the term. */
    private List<String> objections(AgreementProposal proposal, int revisionInForce, long nowMs) {
        PartnerAgreement agreement = proposal.agreement();
        List<String> reasons = new ArrayList<>(agreement.faults(nowMs, rule.maxAloneMs()));
        if (agreement.revision() != revisionInForce + 1) {
            reasons.add("revision: " + agreement.revision() + ", where " + revisionInForce + " is in force");
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

    /** Returns all terms of an agreement as fields for the log, the same at all members. */
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
