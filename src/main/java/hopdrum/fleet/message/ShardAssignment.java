package hopdrum.fleet.message;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Who owns which shard, as settled with a view.
 *
 * @param asOfMs the wall clock of the one that proposed it
 * @param operators all that own something or are in the fleet, sorted
 * @param owners a character a shard: the owner's place among the operators, from 'A' on; '-' is nobody
 * @param moves the last move of each shard, as far back as it may matter; by shard
 * @param agreement the last that was in force, or is; null before the first
 * @param agreedBy the operators that have agreed to it; of a notice, the one that gave it
 * @param expired whether that one is over
 * @param goneMs since when operators that own something have had no member in the view, by the proposers' wall clocks
 * @param epoch the epoch of the last move
 * @param moved how many moved in it
 */
public record ShardAssignment(
        long asOfMs,
        List<String> operators,
        String owners,
        List<Move> moves,
        PartnerAgreement agreement,
        List<String> agreedBy,
        boolean expired,
        Map<String, Long> goneMs,
        long epoch,
        int moved) {
    /** The longest text that a message may hold, and a character a shard. */
    public static final int MOST_SHARDS = 256;

    public static final char NOBODY = '-';
    private static final int MOST_OPERATORS = 40;

    /**
     * A shard that changed its owner.
     *
     * @param from empty where nobody knows who had it
     * @param number the view that it changed with
     */
    public record Move(int shard, String from, long number, long atMs) {
        public Move {
            Member.check(
                    shard >= 0 && shard < MOST_SHARDS && from != null && (from.isEmpty() || Member.isName(from)),
                    "a move");
            Member.check(number > 0, "a move's number");
        }
    }

    public ShardAssignment {
        Member.check(
                operators != null
                        && operators.size() <= MOST_OPERATORS
                        && operators.stream().allMatch(Member::isName),
                "operators");
        Member.check(owners != null && !owners.isEmpty() && owners.length() <= MOST_SHARDS, "owners");
        Member.check(moves != null && moves.size() <= owners.length(), "moves");
        Member.check(goneMs != null && goneMs.size() <= MOST_OPERATORS, "who is gone");
        Member.check(
                agreedBy != null
                        && agreedBy.size() <= MOST_OPERATORS
                        && agreedBy.stream().allMatch(Member::isName),
                "who agreed");
        operators = List.copyOf(operators);
        agreedBy = List.copyOf(agreedBy);
        moves = List.copyOf(moves);
        goneMs = Collections.unmodifiableMap(new TreeMap<>(goneMs));
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

    public int shards() {
        return owners.length();
    }

    /** Null where nobody owns it. */
    public String owner(int shard) {
        return owners.charAt(shard) == NOBODY ? null : operators.get(owners.charAt(shard) - 'A');
    }

    /** Null where it has not moved for as long as matters. */
    public Move moveOf(int shard) {
        int from = 0;
        for (int to = moves.size(); from < to; ) {
            int middle = (from + to) / 2;
            if (moves.get(middle).shard() < shard) {
                from = middle + 1;
            } else {
                to = middle;
            }
        }
        return from < moves.size() && moves.get(from).shard() == shard ? moves.get(from) : null;
    }

    /** Nothing but the time that it was made at is another. */
    public boolean isLike(ShardAssignment other) {
        return other != null
                && owners.equals(other.owners)
                && operators.equals(other.operators)
                && expired == other.expired
                && Objects.equals(agreement, other.agreement)
                && goneMs.keySet().equals(other.goneMs.keySet());
    }

    public int count(String operator) {
        int count = 0;
        for (int i = 0; i < shards(); i++) {
            count += operator.equals(owner(i)) ? 1 : 0;
        }
        return count;
    }
}
