package hopdrum.fleet.shards;

import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What one operator wants and would agree to: its terms file, read.
 *
 * @param proposes what it proposes, under the revision that it is to have; null for nothing
 * @param leastPart of all that is owed, its own part at least
 * @param mostBrings what it brings at most
 * @param leastFloor its own floor at least
 * @param mostAloneMs how long it lets operators go on alone
 * @param mostMoves how many shards may change their owner in an epoch, at most
 * @param mostMs how long it binds itself from the agreement's start
 * @param givesNotice whether it wants out
 */
public record Terms(
        PartnerAgreement proposes,
        double leastPart,
        int mostBrings,
        int leastFloor,
        long mostAloneMs,
        int mostMoves,
        long mostMs,
        boolean givesNotice) {
    /** Of one without a file: it proposes nothing and agrees to nothing. */
    public static final Terms NONE = new Terms(null, 2, 0, 0, 0, 0, 0, false);

    private static double part(PartnerAgreement a, String operator) {
        Party p = a.party(operator);
        long owed = a.parties().stream().mapToLong(Party::owed).sum();
        return p == null || owed == 0 ? 0 : p.owed() / (double) owed;
    }

    /** Why this operator would not agree; a sentence for each term. */
    List<String> objections(PartnerAgreement a, String operator, long nowMs) {
        List<String> why = new ArrayList<>();
        Party p = a.party(operator);
        if (a.equals(proposes)) {
            return why; // its own
        }
        if (part(a, operator) < leastPart - 1e-9) {
            why.add(String.format(
                    Locale.ROOT, "owed: %.3f of all for %s, which wants %.3f", part(a, operator), operator, leastPart));
        }
        if (p.brings() > mostBrings) {
            why.add("brings: " + p.brings() + ", where " + operator + " has " + mostBrings);
        }
        if (p.floor() < leastFloor) {
            why.add("floor: " + p.floor() + ", where " + operator + " wants " + leastFloor);
        }
        if (a.aloneMs() > mostAloneMs) {
            why.add("alone: " + a.aloneMs() + " ms, where " + operator + " takes " + mostAloneMs);
        }
        if (a.moves() > mostMoves) {
            why.add("moves: " + a.moves() + " in an epoch, where " + operator + " takes " + mostMoves);
        }
        if (a.untilMs() - Math.max(nowMs, a.fromMs()) > mostMs) {
            why.add("until: longer than the " + mostMs + " ms that " + operator + " binds itself for");
        }
        return why;
    }

    /** The same with this operator's own figures as near as it would agree to; null where no figure of its own would help. */
    PartnerAgreement counter(PartnerAgreement a, String operator) {
        List<Party> parties = new ArrayList<>();
        double others = a.parties().stream()
                .filter(p -> !p.operator().equals(operator))
                .mapToLong(Party::owed)
                .sum();
        if (leastPart >= 1) {
            return null;
        }
        for (Party p : a.parties()) {
            int owed = !p.operator().equals(operator) || part(a, operator) >= leastPart
                    ? p.owed()
                    : (int) Math.ceil(others * leastPart / (1 - leastPart));
            parties.add(
                    !p.operator().equals(operator)
                            ? p
                            : new Party(
                                    operator, Math.min(p.brings(), mostBrings), owed, Math.max(p.floor(), leastFloor)));
        }
        return new PartnerAgreement(
                a.name(),
                a.revision(),
                parties,
                a.fromMs(),
                a.untilMs(),
                Math.min(a.aloneMs(), mostAloneMs),
                a.standIn(),
                Math.min(a.moves(), mostMoves),
                a.epochMs(),
                a.noticeMs());
    }
}
