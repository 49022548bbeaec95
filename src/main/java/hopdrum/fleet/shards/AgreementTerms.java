package hopdrum.fleet.shards;

import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * One operator's proposals and acceptance limits, from its terms file.
 *
 * @param proposal what it proposes, under the revision that it is to have; null for nothing
 * @param minShare its own share of the shards at least, as a fraction of all
 * @param maxCapacity the capacity that it contributes at most
 * @param minFloor its own floor at least
 * @param maxAloneMs how long it lets operators act alone, milliseconds
 * @param maxMovesPerEpoch how many shards may change their owner in an epoch, at most
 * @param maxDurationMs how long it binds itself from the agreement's start, milliseconds
 * @param givesNotice whether it wants to end the agreement in force
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
    /** The terms of an operator without a file: it proposes nothing and agrees to nothing. */
    public static final AgreementTerms NONE = new AgreementTerms(null, 2, 0, 0, 0, 0, 0, false);

    private static final double ROUNDING = 1e-9;

    private static double shareOf(PartnerAgreement agreement, String operator) {
        Party party = agreement.party(operator);
        long total = agreement.parties().stream().mapToLong(Party::share).sum();
        return party == null || total == 0 ? 0 : party.share() / (double) total;
    }

    /** Why this operator, a party, would not agree: a sentence for each term; empty where it would. */
    List<String> objections(PartnerAgreement agreement, String operator, long nowMs) {
        List<String> reasons = new ArrayList<>();
        if (agreement.equals(proposal)) {
            return reasons;
        }
        Party own = agreement.party(operator);
        double share = shareOf(agreement, operator);
        if (share < minShare - ROUNDING) {
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
     * The same agreement with this operator's own figures changed to the nearest that it accepts; null where no change
     * of them would make it acceptable.
     */
    PartnerAgreement counterProposal(PartnerAgreement agreement, String operator) {
        if (minShare >= 1) {
            return null;
        }
        List<Party> parties = agreement.parties().stream()
                .map(party -> party.operator().equals(operator) ? counterFigures(agreement, party) : party)
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

    private Party counterFigures(PartnerAgreement agreement, Party own) {
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
