package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The owners of the shards, settled together with a view.
 *
 * @param asOfMs the wall clock of the member that proposed the assignment, milliseconds
 * @param operators the operators that own a shard or have a member in the view, sorted by name
 * @param owners one character for each shard: 'A' plus the owner's index in {@code operators}, or '-' for no owner
 * @param moves the last move of each shard that changed its owner recently, sorted by shard
 * @param agreement the agreement that is in force, or was last in force; null before the first agreement
 * @param agreedBy the operators that have approved the agreement; after a notice, the operator that gave notice
 * @param expired whether the agreement has expired
 * @param absentSinceMs by operator that owns a shard but has no member in the view, since when it has had none:
 *     milliseconds of the proposers' wall clocks
 * @param epoch the epoch in which the assignment was proposed
 * @param movesInEpoch the number of shards that have changed their owner in that epoch
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
    /** The maximum number of shards: {@code owners} has a character for each, and a message holds no longer string. */
    public static final int MAX_SHARDS = 256;

    /** The character in {@code owners} of a shard that has no owner. */
    public static final char NO_OWNER = '-';

    private static final int MAX_OPERATORS = 40;

    /**
     * A change of a shard's owner.
     *
     * @param shard the shard, from 0
     * @param previousOwner the operator that owned the shard in the view before; empty if that is unknown
     * @param viewNumber the number of the view with which the owner changed
     * @param atMs when the owner changed, milliseconds of the proposer's wall clock
     */
    public record Move(
            int shard,
            @JsonProperty("from") String previousOwner,
            @JsonProperty("number") long viewNumber,
            long atMs) {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public Move {
            Member.checkComponent(
                    shard >= 0
                            && shard < MAX_SHARDS
                            && previousOwner != null
                            && (previousOwner.isEmpty() || Member.isName(previousOwner)),
                    "shard or previous owner of a move");
            Member.checkComponent(viewNumber > 0, "view number of a move");
        }
    }

    /** Validates the components; throws IllegalArgumentException if one is invalid. */
    public ShardAssignment {
        Member.checkComponent(
                operators != null
                        && operators.size() <= MAX_OPERATORS
                        && operators.stream().allMatch(Member::isName),
                "operators of an assignment");
        Member.checkComponent(
                owners != null && !owners.isEmpty() && owners.length() <= MAX_SHARDS, "number of owner characters");
        Member.checkComponent(moves != null && moves.size() <= owners.length(), "number of moves");
        Member.checkComponent(
                absentSinceMs != null && absentSinceMs.size() <= MAX_OPERATORS, "number of absent operators");
        Member.checkComponent(
                agreedBy != null
                        && agreedBy.size() <= MAX_OPERATORS
                        && agreedBy.stream().allMatch(Member::isName),
                "operators that approved an agreement");
        operators = List.copyOf(operators);
        agreedBy = List.copyOf(agreedBy);
        moves = List.copyOf(moves);
        absentSinceMs = Collections.unmodifiableMap(new TreeMap<>(absentSinceMs));
        for (int i = 1; i < moves.size(); i++) {
            Member.checkComponent(moves.get(i - 1).shard() < moves.get(i).shard(), "order of moves");
        }
        for (int i = 0; i < owners.length(); i++) {
            Member.checkComponent(
                    owners.charAt(i) == NO_OWNER
                            || (owners.charAt(i) >= 'A' && owners.charAt(i) < 'A' + operators.size()),
                    "owner of a shard");
        }
    }

    /**
     * Returns the number of shards.
     *
     * @return the number of shards, as set in the fleet file
     */
    public int shardCount() {
        return owners.length();
    }

    /**
     * Returns a shard's owner.
     *
     * @param shard the shard, from 0
     * @return the operator's name; null if nobody owns the shard
     */
    public String owner(int shard) {
        return owners.charAt(shard) == NO_OWNER ? null : operators.get(owners.charAt(shard) - 'A');
    }

    /**
     * Returns a shard's last move.
     *
     * @param shard the shard, from 0
     * @return the move; null if the shard has not changed its owner recently
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
     * Returns whether another assignment is equivalent. Equivalent assignments may differ in their times and moves.
     *
     * @param other the other assignment; may be null
     * @return true if operators, owners, agreement, expiry and absent operators are the same
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
     * Returns the number of shards that an operator owns.
     *
     * @param operator the operator's name
     * @return the number of shards; 0 for an operator that owns none
     */
    public int shardCountOf(String operator) {
        int count = 0;
        for (int i = 0; i < shardCount(); i++) {
            count += operator.equals(owner(i)) ? 1 : 0;
        }
        return count;
    }
}
