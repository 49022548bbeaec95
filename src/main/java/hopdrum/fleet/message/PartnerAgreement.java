package hopdrum.fleet.message;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What partners have agreed on, or one of them proposes: how the shards are divided, from when until when.
 *
 * @param revision from 1 on; each follows the one before, under whatever name
 * @param parties sorted by operator
 * @param fromMs wall clock; not in force before
 * @param untilMs wall clock; from then on each party is owed its floor
 * @param aloneMs how long an operator's front doors act on their shards without hearing from a majority of the fleet
 * @param standIn whether others take over the shards of an operator that has been gone for so long
 * @param moves shards that change their owner in an epoch, at most
 * @param epochMs an epoch's length
 * @param noticeMs after how long a party that gives notice is out
 */
public record PartnerAgreement(
        String name,
        int revision,
        List<Party> parties,
        long fromMs,
        long untilMs,
        long aloneMs,
        boolean standIn,
        int moves,
        long epochMs,
        long noticeMs) {
    private static final int MOST_PARTIES = 30;
    private static final int MOST_WEIGHT = 1_000_000;
    private static final long LAST_MS = 7_258_118_400_000L; // the year 2200
    private static final long MOST_ALONE_MS = 240_000;
    private static final long MOST_EPOCH_MS = 3_600_000;

    /**
     * One operator's part.
     *
     * @param brings capacity, in the parties' common unit
     * @param owed its part of the shards is to the others' as this is to theirs; above what it brings, it is lent to
     * @param floor what it is owed once the agreement has expired
     */
    public record Party(String operator, int brings, int owed, int floor) {
        public Party {
            Member.check(Member.isName(operator), "a party's name");
            Member.check(
                    brings >= 0 && brings <= MOST_WEIGHT && owed >= 0 && owed <= MOST_WEIGHT && floor >= 0,
                    "a party's figures");
        }
    }

    public PartnerAgreement {
        Member.check(Member.isName(name) && revision > 0, "an agreement's name");
        Member.check(parties != null && parties.size() <= MOST_PARTIES, "parties");
        parties = List.copyOf(parties);
        Set<String> names = new HashSet<>();
        parties.forEach(p -> Member.check(names.add(p.operator()), "a party twice"));
        Member.check(
                fromMs >= 0
                        && fromMs < LAST_MS
                        && untilMs >= 0
                        && untilMs < LAST_MS
                        && noticeMs >= 0
                        && noticeMs < LAST_MS,
                "an agreement's times");
        Member.check(
                aloneMs >= 0 && aloneMs <= MOST_ALONE_MS && epochMs > 0 && epochMs <= MOST_EPOCH_MS && moves >= 0,
                "an agreement's figures");
    }

    /** Null for one that is no party. */
    public Party party(String operator) {
        return parties.stream()
                .filter(p -> p.operator().equals(operator))
                .findFirst()
                .orElse(null);
    }

    public List<String> operators() {
        return parties.stream().map(Party::operator).toList();
    }

    /**
     * What keeps it from ever being agreed on, a sentence for each term; empty if nothing does.
     *
     * @param mostAloneMs the longest that this fleet lets an operator go on alone
     */
    public List<String> faults(long nowMs, long mostAloneMs) {
        List<String> faults = new ArrayList<>();
        long owed = parties.stream().mapToLong(Party::owed).sum();
        long brought = parties.stream().mapToLong(Party::brings).sum();
        if (parties.size() < 2) {
            faults.add("parties: fewer than two");
        }
        if (owed == 0 || owed > brought) {
            faults.add("owed: " + owed + " in all, where " + brought + " is brought");
        }
        for (Party p : parties) {
            if (p.floor() > p.owed()) {
                faults.add("floor: " + p.operator() + "'s " + p.floor() + " is above the " + p.owed()
                        + " that it is owed");
            }
        }
        if (untilMs <= fromMs) {
            faults.add("until: not after from");
        }
        if (untilMs <= nowMs) {
            faults.add("until: has passed");
        }
        if (aloneMs > mostAloneMs) {
            faults.add(
                    "alone: " + aloneMs + " ms, where this fleet lets nobody act alone for more than " + mostAloneMs);
        }
        if (moves == 0) {
            faults.add("moves: none, so no share could ever be reached");
        }
        return faults;
    }
}
