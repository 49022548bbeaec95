package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The terms on which partner operators share customers: each operator's share of the shards, and the period. An
 * agreement is either in force or proposed by one of the operators.
 *
 * @param name the agreement's name
 * @param revision the revision, from 1; an agreement follows the one with the revision before it, whatever their names
 * @param parties the parties with their figures, sorted by operator
 * @param fromMs the earliest time at which the agreement comes into force, milliseconds of the wall clock
 * @param untilMs when the agreement expires, milliseconds of the wall clock; from then on each party has its floor
 * @param aloneMs how long an operator's front doors act on their shards without contact to a majority of the fleet,
 *     milliseconds
 * @param standIn whether the others take over the shards of an operator that has been absent for {@code aloneMs}
 * @param maxMovesPerEpoch the maximum number of shards that change their owner in one epoch
 * @param epochMs the length of an epoch, milliseconds
 * @param noticeMs the notice period after which one party may end the agreement, milliseconds
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
    private static final long MAX_TIME_MS = 7_258_118_400_000L; // the year 2200
    private static final long MAX_ALONE_MS = 240_000;
    private static final long MAX_EPOCH_MS = 3_600_000;

    /**
     * One operator's figures in an agreement.
     *
     * @param operator the operator's name
     * @param capacity the capacity that the operator contributes, in the parties' common unit
     * @param share the operator's weight; the shards are divided in proportion to the weights, and an operator whose
     *     weight is above its capacity borrows from the others
     * @param floor the operator's weight once the agreement has expired
     */
    public record Party(
            String operator,
            @JsonProperty("brings") int capacity,
            @JsonProperty("owed") int share,
            int floor) {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public Party {
            Member.checkComponent(Member.isName(operator), "name of a party");
            Member.checkComponent(
                    capacity >= 0 && capacity <= MAX_WEIGHT && share >= 0 && share <= MAX_WEIGHT && floor >= 0,
                    "capacity, share or floor of a party");
        }
    }

    /** Validates the components; throws IllegalArgumentException if one is invalid. */
    public PartnerAgreement {
        Member.checkComponent(Member.isName(name) && revision > 0, "name or revision of an agreement");
        Member.checkComponent(parties != null && parties.size() <= MAX_PARTIES, "number of parties");
        parties = List.copyOf(parties);
        Set<String> names = new HashSet<>();
        parties.forEach(party -> Member.checkComponent(names.add(party.operator()), "list of parties: a party twice"));
        Member.checkComponent(
                fromMs >= 0
                        && fromMs < MAX_TIME_MS
                        && untilMs >= 0
                        && untilMs < MAX_TIME_MS
                        && noticeMs >= 0
                        && noticeMs < MAX_TIME_MS,
                "start, end or notice period of an agreement");
        Member.checkComponent(
                aloneMs >= 0
                        && aloneMs <= MAX_ALONE_MS
                        && epochMs > 0
                        && epochMs <= MAX_EPOCH_MS
                        && maxMovesPerEpoch >= 0,
                "time alone, epoch or moves of an agreement");
    }

    /**
     * Returns an operator's figures.
     *
     * @param operator the operator's name
     * @return the operator's figures; null if the operator is not a party
     */
    public Party party(String operator) {
        return parties.stream()
                .filter(party -> party.operator().equals(operator))
                .findFirst()
                .orElse(null);
    }

    /**
     * Returns the next revision with another end and otherwise unchanged terms.
     *
     * @param newUntilMs when the next revision expires, milliseconds of the wall clock
     * @return the next revision
     */
    public PartnerAgreement nextRevisionEndingAt(long newUntilMs) {
        return new PartnerAgreement(
                name, revision + 1, parties, fromMs, newUntilMs, aloneMs, standIn, maxMovesPerEpoch, epochMs, noticeMs);
    }

    /**
     * Returns the parties' names.
     *
     * @return the names of the operators, in the order of the parties
     */
    public List<String> operators() {
        return parties.stream().map(Party::operator).toList();
    }

    /**
     * Returns the reasons why the agreement can never come into force. The reasons go over the wire when an operator
     * rejects the agreement.
     *
     * @param nowMs the time of the wall clock, milliseconds
     * @param maxAloneMs the longest that this fleet lets an operator act alone, milliseconds
     * @return one reason for each invalid term; empty if all terms are valid
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
        for (Party party : parties) {
            if (party.floor() > party.share()) {
                faults.add("floor: " + party.operator() + "'s " + party.floor() + " is above the " + party.share()
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
