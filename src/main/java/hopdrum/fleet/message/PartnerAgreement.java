package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What partners have agreed on, or one of them proposes: which share of the shards each owns, from when until when.
 *
 * @param name the agreement's name
 * @param revision from 1 on; each follows the one before, under whatever name
 * @param parties sorted by operator
 * @param fromMs wall clock; not in force before
 * @param untilMs wall clock; from then on each party has its floor
 * @param aloneMs how long an operator's front doors act on their shards without contact to a majority of the fleet
 * @param standIn whether others take over the shards of an operator that has been absent for so long
 * @param maxMovesPerEpoch shards that change their owner in an epoch, at most
 * @param epochMs an epoch's length
 * @param noticeMs the notice period after which one party may end the agreement
 */
public record PartnerAgreement(
        String name,
        int revision,
        List<Party> parties,
        long fromMs,
        long untilMs,
        long aloneMs,
        boolean standIn,
        @JsonProperty("moves") int maxMovesPerEpoch,
        long epochMs,
        long noticeMs) {
    private static final int MAX_PARTIES = 30;
    private static final int MAX_WEIGHT = 1_000_000;
    private static final long LAST_MS = 7_258_118_400_000L; // the year 2200
    private static final long MAX_ALONE_MS = 240_000;
    private static final long MAX_EPOCH_MS = 3_600_000;

    /**
     * One operator's part.
     *
     * @param operator the operator
     * @param capacity what it contributes, in the parties' common unit
     * @param share its weight: its share of the shards is to the others' as this is to theirs; above its capacity, it
     *     borrows
     * @param floor its weight once the agreement has expired
     */
    public record Party(
            String operator,
            @JsonProperty("brings") int capacity,
            @JsonProperty("owed") int share,
            int floor) {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public Party {
            Member.check(Member.isName(operator), "a party's name");
            Member.check(
                    capacity >= 0 && capacity <= MAX_WEIGHT && share >= 0 && share <= MAX_WEIGHT && floor >= 0,
                    "a party's figures");
        }
    }

    /** Checks the components; throws IllegalArgumentException where one cannot be. */
    public PartnerAgreement {
        Member.check(Member.isName(name) && revision > 0, "an agreement's name");
        Member.check(parties != null && parties.size() <= MAX_PARTIES, "parties");
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
                aloneMs >= 0
                        && aloneMs <= MAX_ALONE_MS
                        && epochMs > 0
                        && epochMs <= MAX_EPOCH_MS
                        && maxMovesPerEpoch >= 0,
                "an agreement's figures");
    }

    /**
     * Finds an operator's part.
     *
     * @param operator the operator
     * @return its part; null for one that is no party
     */
    public Party party(String operator) {
        return parties.stream()
                .filter(p -> p.operator().equals(operator))
                .findFirst()
                .orElse(null);
    }

    /**
     * Returns the revision that amends this one so that it ends at another time, all other terms unchanged.
     *
     * @param newUntilMs when it ends, milliseconds of the wall clock
     * @return the next revision
     */
    public PartnerAgreement nextRevisionEndingAt(long newUntilMs) {
        return new PartnerAgreement(
                name, revision + 1, parties, fromMs, newUntilMs, aloneMs, standIn, maxMovesPerEpoch, epochMs, noticeMs);
    }

    /**
     * Returns the parties' names.
     *
     * @return operators, in the parties' order
     */
    public List<String> operators() {
        return parties.stream().map(Party::operator).toList();
    }

    /**
     * Finds the reasons why the agreement can never come into force.
     *
     * @param nowMs the wall clock, milliseconds
     * @param maxAloneMs the longest that this fleet lets an operator act alone, milliseconds
     * @return a sentence for each term that is at fault; empty if none is
     */
    public List<String> faults(long nowMs, long maxAloneMs) {
        List<String> faults = new ArrayList<>();
        long totalShare = parties.stream().mapToLong(Party::share).sum();
        long totalCapacity = parties.stream().mapToLong(Party::capacity).sum();
        if (parties.size() < 2) {
            faults.add("parties: fewer than two");
        }
        if (totalShare == 0 || totalShare > totalCapacity) {
            faults.add("owed: " + totalShare + " in all, where " + totalCapacity + " is brought");
        }
        for (Party p : parties) {
            if (p.floor() > p.share()) {
                faults.add("floor: " + p.operator() + "'s " + p.floor() + " is above the " + p.share()
                        + " that it is owed");
            }
        }
        if (untilMs <= fromMs) {
            faults.add("until: not after from");
        }
        if (untilMs <= nowMs) {
            faults.add("until: has passed");
        }
        if (aloneMs > maxAloneMs) {
            faults.add("alone: " + aloneMs + " ms, where this fleet lets nobody act alone for more than " + maxAloneMs);
        }
        if (maxMovesPerEpoch == 0) {
            faults.add("moves: none, so no share could ever be reached");
        }
        return faults;
    }
}
