package hopdrum.fleet.shards;

import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.ShardAssignment.Move;
import hopdrum.fleet.message.View;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One step from a view's shard assignment towards the operators' target shares, with as few moves as possible and at most
 * the epoch's budget of them. Used once; not thread-safe.
 */
final class ShardRebalance {
    private static final long MOVE_HISTORY_MS = 600_000; // far longer than any operator may act alone
    private static final long DEFAULT_EPOCH_MS = 60_000; // without an agreement
    private static final int DEFAULT_EPOCH_FRACTION = 8; // an eighth of the shards an epoch, without an agreement
    private static final char FIRST_OPERATOR = 'A';

    private final int shards;
    private final View before;
    private final ShardAssignment last; // null before the first
    private final PartnerAgreement agreement; // null if there is none
    private final boolean isExpired;
    private final long nowMs;
    private final List<String> names; // all operators, sorted
    private final Map<String, Integer> owned = new HashMap<>();
    private final Map<String, Long> absentSinceMs = new TreeMap<>();
    private final Map<String, Integer> target;
    private final Map<String, Integer> surplus =
            new HashMap<>(); // owned beyond the target; negative where it lacks some

    ShardRebalance(
            int shards, View before, Set<String> present, PartnerAgreement agreement, boolean isExpired, long nowMs) {
        this.shards = shards;
        this.before = before;
        this.last = before.shardAssignment();
        this.agreement = agreement;
        this.isExpired = isExpired;
        this.nowMs = nowMs;
        Set<String> operators = new TreeSet<>(present);
        for (int shard = 0; last != null && shard < shards; shard++) {
            String owner = last.owner(shard);
            if (owner != null) {
                operators.add(owner);
                owned.merge(owner, 1, Integer::sum);
            }
        }
        for (String operator : operators) {
            if (!present.contains(operator)) {
                absentSinceMs.put(operator, last.absentSinceMs().getOrDefault(operator, nowMs));
            }
        }
        names = List.copyOf(operators);
        target = new ShardTargets(shards, agreement, isExpired, nowMs).compute(operators, absentSinceMs, owned);
        operators.forEach(operator -> surplus.put(operator, owned.getOrDefault(operator, 0) - target.get(operator)));
    }

    /** @param agreedBy the operators that approved the agreement that is or comes in force */
    ShardAssignment assignment(List<String> agreedBy) {
        char[] owners = new char[shards];
        List<Integer> available = release(owners);
        long epoch = nowMs / (agreement == null ? DEFAULT_EPOCH_MS : agreement.epochMs());
        int movedBefore = last != null && last.epoch() == epoch ? last.movesInEpoch() : 0;
        int budget = last == null ? shards : maxMovesPerEpoch() - movedBefore;
        Map<Integer, Move> moves = recentMoves();
        int moved = distribute(available, budget, owners, moves);
        return new ShardAssignment(
                nowMs,
                names,
                new String(owners),
                List.copyOf(moves.values()),
                agreement,
                agreedBy,
                isExpired,
                absentSinceMs,
                epoch,
                movedBefore + moved);
    }

    /** Copies the present owners; returns the shards without an owner or whose owner has too many. */
    private List<Integer> release(char[] owners) {
        List<Integer> available = new ArrayList<>();
        // from the last shard on, since an operator that expires to its floor keeps its first shards
        for (int shard = shards - 1; shard >= 0; shard--) {
            String owner = previousOwner(shard);
            owners[shard] = owner == null ? ShardAssignment.NO_OWNER : ownerCode(owner);
            if (owner == null) {
                available.add(shard);
            } else if (surplus.get(owner) > 0) {
                surplus.merge(owner, -1, Integer::sum);
                available.add(shard);
            }
        }
        return available;
    }

    /** Gives available shards to those that lack some, as far as the budget goes; returns how many moved. */
    private int distribute(List<Integer> available, int budget, char[] owners, Map<Integer, Move> moves) {
        int moved = 0;
        for (int shard : available) {
            String receiver = moved < budget ? neediest() : null;
            if (receiver == null) {
                break;
            }
            moved++;
            surplus.merge(receiver, 1, Integer::sum);
            owned.merge(receiver, 1, Integer::sum);
            owners[shard] = ownerCode(receiver);
            String giver = previousOwner(shard);
            moves.put(shard, new Move(shard, giver == null ? "" : giver, before.number() + 1, nowMs));
        }
        return moved;
    }

    /** Null where nobody owned it. */
    private String previousOwner(int shard) {
        return last == null ? null : last.owner(shard);
    }

    private char ownerCode(String operator) {
        return (char) (FIRST_OPERATOR + names.indexOf(operator));
    }

    private int maxMovesPerEpoch() {
        return agreement == null ? Math.max(1, shards / DEFAULT_EPOCH_FRACTION) : agreement.maxMovesPerEpoch();
    }

    /** By shard: each one's last move, as far back as it may matter. */
    private Map<Integer, Move> recentMoves() {
        Map<Integer, Move> moves = new TreeMap<>();
        if (last != null) {
            last.moves().stream()
                    .filter(move -> nowMs - move.atMs() < MOVE_HISTORY_MS)
                    .forEach(move -> moves.put(move.shard(), move));
        }
        return moves;
    }

    /**
     * The operator that is to receive the next shard: a lender below what its own capacity guarantees comes before all
     * others; then the one that lacks the largest part of its target. Null where none lacks any.
     */
    private String neediest() {
        String best = null;
        double bestNeed = 0;
        for (String operator : names) {
            if (surplus.get(operator) >= 0) {
                continue;
            }
            double need = -surplus.get(operator) / (double) target.get(operator)
                    + (owned.getOrDefault(operator, 0) < Math.floor(guaranteed(operator)) ? 1 : 0);
            if (need > bestNeed) {
                best = operator;
                bestNeed = need;
            }
        }
        return best;
    }

    /** How many shards of its target an operator's own capacity covers. */
    private double guaranteed(String operator) {
        Party party = agreement == null ? null : agreement.party(operator);
        return party == null || party.share() == 0
                ? 0
                : target.get(operator) * (double) Math.min(party.share(), party.capacity()) / party.share();
    }
}
