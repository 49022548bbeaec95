package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The owner of each shard, as settled with a view.
 *
 * @param asOfMs the wall clock of the member that proposed it, milliseconds
 * @param operators all that own something or are in the fleet, sorted
 * @param owners a character a shard: the owner's index among the operators, from 'A' on; '-' is nobody
 * @param moves the last move of each shard, as far back as it may matter; sorted by shard
 * @param agreement the last that was in force, or is; null before the first
 * @param agreedBy the operators that have agreed to it; of a notice, the one that gave it
 * @param expired whether that one is over
 * @param absentSinceMs since when operators that own something have had no member in the view, by the proposers'
 *     wall clocks
 * @param epoch the epoch of the last move
 * @param movesInEpoch how many moved in it
 */
public record ShardAssignment(
        long asOfMs,
        List<String> operators,
        String owners,
        List<Move> moves,
        PartnerAgreement agreement,
        List<String> agreedBy,
        boolean expired,
        @JsonProperty("goneMs") Map<String, Long> absentSinceMs,
        long epoch,
        @JsonProperty("moved") int movesInEpoch) {
    /** The most shards: a message holds no longer text, and {@code owners} has a character a shard. */
    public static final int MAX_SHARDS = 256;

    /** The character in {@code owners} of a shard that nobody owns. */
    public static final char NOBODY = '-';

    private static final int MAX_OPERATORS = 40;

    /**
     * A shard that changed its owner.
     *
     * @param shard the shard
     * @param previousOwner empty where the previous owner is unknown
     * @param viewNumber the view that it changed with
     * @param atMs when, by the proposer's wall clock, milliseconds
     */
    public record Move(
            int shard,
            @JsonProperty("from") String previousOwner,
            @JsonProperty("number") long viewNumber,
            long atMs) {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public Move {
            Member.check(
                    shard >= 0
                            && shard < MAX_SHARDS
                            && previousOwner != null
                            && (previousOwner.isEmpty() || Member.isName(previousOwner)),
                    "a move");
            Member.check(viewNumber > 0, "a move's number");
        }
    }

    /** Checks the components; throws IllegalArgumentException where one cannot be. */
    public ShardAssignment {
        Member.check(
                operators != null
                        && operators.size() <= MAX_OPERATORS
                        && operators.stream().allMatch(Member::isName),
                "operators");
        Member.check(owners != null && !owners.isEmpty() && owners.length() <= MAX_SHARDS, "owners");
        Member.check(moves != null && moves.size() <= owners.length(), "moves");
        Member.check(absentSinceMs != null && absentSinceMs.size() <= MAX_OPERATORS, "who is gone");
        Member.check(
                agreedBy != null
                        && agreedBy.size() <= MAX_OPERATORS
                        && agreedBy.stream().allMatch(Member::isName),
                "who agreed");
        operators = List.copyOf(operators);
        agreedBy = List.copyOf(agreedBy);
        moves = List.copyOf(moves);
        absentSinceMs = Collections.unmodifiableMap(new TreeMap<>(absentSinceMs));
        for (int i = 1; i < moves.size(); i++) {
            Member.check(moves.get(i - 1).shard() < moves.get(i).shard(), "moves");
        }
        for (int i = 0; i < owners.length(); i++) {
            Member.check(
                    owners.charAt(i) == NOBODY
                            || (owners.charAt(i) >= 'A' && owners.charAt(i) < 'A' + operators.size()),
                    "an owner");
        }
    }

    /**
     * Returns the number of shards.
     *
     * @return as many as the fleet file sets
     */
    public int shardCount() {
        return owners.length();
    }

    /**
     * Returns a shard's owner.
     *
     * @param shard the shard, from 0
     * @return the operator; null where nobody owns it
     */
    public String owner(int shard) {
        return owners.charAt(shard) == NOBODY ? null : operators.get(owners.charAt(shard) - 'A');
    }

    /**
     * Returns a shard's last move.
     *
     * @param shard the shard, from 0
     * @return the move; null where it has not moved for as long as matters
     */
    public Move lastMoveOf(int shard) {
        int low = 0;
        int high = moves.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (moves.get(middle).shard() < shard) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low < moves.size() && moves.get(low).shard() == shard ? moves.get(low) : null;
    }

    /**
     * Returns whether another assignment is equivalent: it may differ in the times and moves that it records.
     *
     * @param other the other; may be null
     * @return true where owners, agreement, expiry and absent operators are the same
     */
    public boolean isEquivalentTo(ShardAssignment other) {
        return other != null
                && owners.equals(other.owners)
                && operators.equals(other.operators)
                && expired == other.expired
                && Objects.equals(agreement, other.agreement)
                && absentSinceMs.keySet().equals(other.absentSinceMs.keySet());
    }

    /**
     * Counts an operator's shards.
     *
     * @param operator the operator
     * @return how many it owns
     */
    public int shardCountOf(String operator) {
        int count = 0;
        for (int i = 0; i < shardCount(); i++) {
            count += operator.equals(owner(i)) ? 1 : 0;
        }
        return count;
    }
}
