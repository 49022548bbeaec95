package hopdrum.fleet.shards;

import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The proposal and the acceptance limits of one operator, from its terms file.
 *
 * @param proposal the agreement that the operator proposes, with its intended revision; null if it proposes none
 * @param minShare the minimum share of the shards for the operator, as a fraction of all shards; it accepts no
 *     agreement if this is above 1
 * @param maxCapacity the maximum capacity that the operator contributes
 * @param minFloor the minimum floor of the operator
 * @param maxAloneMs the longest that an agreement may let operators act alone, milliseconds
 * @param maxMovesPerEpoch the maximum number of shards that may change their owner in one epoch
 * @param maxDurationMs the longest duration of an agreement, from its start or from now if it has started, milliseconds
 * @param givesNotice whether the operator gives notice to end the agreement in force
 */
public record AgreementTerms(
        PartnerAgreement proposal,
        double minShare,
        int maxCapacity,
        int minFloor,
        long maxAloneMs,
        int maxMovesPerEpoch,
        long maxDurationMs,
        boolean givesNotice) {
    /** The terms of an operator without a terms file: it proposes no agreement and accepts none. */
    public static final AgreementTerms NONE = new AgreementTerms(null, 2, 0, 0, 0, 0, 0, false);

    private static final double ROUNDING_TOLERANCE = 1e-9;

    private static double shareOf(PartnerAgreement agreement, String operator) {
        Party party = agreement.party(operator);
        long total = agreement.parties().stream().mapToLong(Party::share).sum();
        return party == null || total == 0 ? 0 : party.share() / (double) total;
    }

    /**
     * Returns why this operator, which must be a party, does not accept an agreement: one reason for each term, empty
     * if the operator accepts. The reasons go over the wire.
     */
    List<String> objections(PartnerAgreement agreement, String operator, long nowMs) {
        List<String> reasons = new ArrayList<>();
        if (agreement.equals(proposal)) {
            return reasons;
        }
        Party own = agreement.party(operator);
        double share = shareOf(agreement, operator);
        if (share < minShare - ROUNDING_TOLERANCE) {
            reasons.add(String.format(
                    Locale.ROOT, "owed: %.3f of all for %s, which wants %.3f", share, operator, minShare));
        }
        if (own.capacity() > maxCapacity) {
            reasons.add("brings: " + own.capacity() + ", where " + operator + " has " + maxCapacity);
        }
        if (own.floor() < minFloor) {
            reasons.add("floor: " + own.floor() + ", where " + operator + " wants " + minFloor);
        }
        if (agreement.aloneMs() > maxAloneMs) {
            reasons.add("alone: " + agreement.aloneMs() + " ms, where " + operator + " takes " + maxAloneMs);
        }
        if (agreement.maxMovesPerEpoch() > maxMovesPerEpoch) {
            reasons.add("moves: " + agreement.maxMovesPerEpoch() + " in an epoch, where " + operator + " takes "
                    + maxMovesPerEpoch);
        }
        if (agreement.untilMs() - Math.max(nowMs, agreement.fromMs()) > maxDurationMs) {
            reasons.add("until: longer than the " + maxDurationMs + " ms that " + operator + " binds itself for");
        }
        return reasons;
    }

    /**
     * Returns the agreement with this operator's figures, the time alone and the moves per epoch changed to the nearest
     * values that it accepts; null if its minimum share is 1 or more, which no other figures satisfy.
     */
    PartnerAgreement counterProposal(PartnerAgreement agreement, String operator) {
        if (minShare >= 1) {
            return null;
        }
        List<Party> parties = agreement.parties().stream()
                .map(party -> party.operator().equals(operator) ? adjustToLimits(agreement, party) : party)
                .toList();
        return new PartnerAgreement(
                agreement.name(),
                agreement.revision(),
                parties,
                agreement.fromMs(),
                agreement.untilMs(),
                Math.min(agreement.aloneMs(), maxAloneMs),
                agreement.standIn(),
                Math.min(agreement.maxMovesPerEpoch(), maxMovesPerEpoch),
                agreement.epochMs(),
                agreement.noticeMs());
    }

    private Party adjustToLimits(PartnerAgreement agreement, Party own) {
        double othersShare = agreement.parties().stream()
                .filter(party -> !party.operator().equals(own.operator()))
                .mapToLong(Party::share)
                .sum();
        int share = shareOf(agreement, own.operator()) >= minShare
                ? own.share()
                : (int) Math.ceil(othersShare * minShare / (1 - minShare));
        return new Party(own.operator(), Math.min(own.capacity(), maxCapacity), share, Math.max(own.floor(), minFloor));
    }
}
