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
 * One step from a view's shard assignment towards the target shares of the operators. The step moves as few shards as
 * possible, and no more than the epoch still allows. Each instance is used once. Not thread-safe.
 */
final class ShardRebalance {
    private static final long MOVE_HISTORY_MS = 600_000; // far longer than an operator may act alone
    private static final long DEFAULT_EPOCH_MS = 60_000; // the length of an epoch without an agreement
    private static final int DEFAULT_MOVES_DIVISOR = 8; // without an agreement, an eighth of the shards an epoch
    private static final char FIRST_OPERATOR_CODE = 'A';

    private final int shardCount;
    private final View settled;
    private final ShardAssignment previous; // null before the first assignment
    private final PartnerAgreement agreement; // null if there is none
    private final boolean isExpired;
    private final long nowMs;
    private final List<String> operatorNames; // all operators that are present or own a shard, sorted
    private final Map<String, Integer> ownedCounts = new HashMap<>();
    private final Map<String, Long> absentSinceMs = new TreeMap<>();
    private final Map<String, Integer> targetCounts;
    private final Map<String, Integer> surplus =
            new HashMap<>(); // shards owned beyond the target count; negative for an operator that lacks shards

    ShardRebalance(
            int shardCount,
            View settled,
            Set<String> present,
            PartnerAgreement agreement,
            boolean isExpired,
            long nowMs) {
        this.shardCount = shardCount;
        this.settled = settled;
        this.previous = settled.shardAssignment();
        this.agreement = agreement;
        this.isExpired = isExpired;
        this.nowMs = nowMs;
        Set<String> operators = new TreeSet<>(present);
        for (int shard = 0; previous != null && shard < shardCount; shard++) {
            String owner = previous.owner(shard);
            if (owner != null) {
                operators.add(owner);
                ownedCounts.merge(owner, 1, Integer::sum);
            }
        }
        for (String operator : operators) {
            if (!present.contains(operator)) {
                absentSinceMs.put(operator, previous.absentSinceMs().getOrDefault(operator, nowMs));
            }
        }
        operatorNames = List.copyOf(operators);
        targetCounts = new ShardTargets(shardCount, agreement, isExpired, nowMs)
                .compute(operators, absentSinceMs, ownedCounts);
        operators.forEach(
                operator -> surplus.put(operator, ownedCounts.getOrDefault(operator, 0) - targetCounts.get(operator)));
    }

    /**
     * Computes the next assignment.
     *
     * @param agreedBy the operators that have approved the agreement that is in force or comes into force
     */
    ShardAssignment assignment(List<String> agreedBy) {
        char[] owners = new char[shardCount];
        List<Integer> available = releaseShards(owners);
        long epoch = nowMs / (agreement == null ? DEFAULT_EPOCH_MS : agreement.epochMs());
        int movedBefore = previous != null && previous.epoch() == epoch ? previous.movesInEpoch() : 0;
        int moveBudget = previous == null ? shardCount : maxMovesPerEpoch() - movedBefore;
        Map<Integer, Move> moves = recentMoves();
        int moved = assignAvailable(available, moveBudget, owners, moves);
        return new ShardAssignment(
                nowMs,
                operatorNames,
                new String(owners),
                List.copyOf(moves.values()),
                agreement,
                agreedBy,
                isExpired,
                absentSinceMs,
                epoch,
                movedBefore + moved);
    }

    /**
     * Copies the present owners to {@code owners} and returns the shards that may be assigned anew: those without an
     * owner, and for each operator with a surplus as many as the surplus.
     */
    private List<Integer> releaseShards(char[] owners) {
        List<Integer> available = new ArrayList<>();
        // Starts with the last shard: when the agreement expires, an operator keeps the first shards as its floor.
        for (int shard = shardCount - 1; shard >= 0; shard--) {
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

    /** Assigns available shards to operators that lack shards, within the move budget. Returns the number of moves. */
    private int assignAvailable(List<Integer> available, int moveBudget, char[] owners, Map<Integer, Move> moves) {
        int moved = 0;
        for (int shard : available) {
            String receiver = moved < moveBudget ? selectReceiver() : null;
            if (receiver == null) {
                break;
            }
            moved++;
            surplus.merge(receiver, 1, Integer::sum);
            ownedCounts.merge(receiver, 1, Integer::sum);
            owners[shard] = ownerCode(receiver);
            String formerOwner = previousOwner(shard);
            moves.put(shard, new Move(shard, formerOwner == null ? "" : formerOwner, settled.number() + 1, nowMs));
        }
        return moved;
    }

    /** Returns the owner in the previous assignment; null if nobody owned the shard. */
    private String previousOwner(int shard) {
        return previous == null ? null : previous.owner(shard);
    }

    private char ownerCode(String operator) {
        return (char) (FIRST_OPERATOR_CODE + operatorNames.indexOf(operator));
    }

    private int maxMovesPerEpoch() {
        return agreement == null ? Math.max(1, shardCount / DEFAULT_MOVES_DIVISOR) : agreement.maxMovesPerEpoch();
    }

    /** Returns each shard's last move by shard, without moves older than the history. */
    private Map<Integer, Move> recentMoves() {
        Map<Integer, Move> moves = new TreeMap<>();
        if (previous != null) {
            previous.moves().stream()
                    .filter(move -> nowMs - move.atMs() < MOVE_HISTORY_MS)
                    .forEach(move -> moves.put(move.shard(), move));
        }
        return moves;
    }

    /**
     * Selects the operator that receives the next shard. Lenders that own fewer shards than their own capacity
     * guarantees come first, then the operator that lacks the largest part of its target count. Returns null if none
     * lacks shards.
     */
    private String selectReceiver() {
        String neediest = null;
        double largestNeed = 0;
        for (String operator : operatorNames) {
            if (surplus.get(operator) >= 0) {
                continue;
            }
            double need = -surplus.get(operator) / (double) targetCounts.get(operator)
                    + (ownedCounts.getOrDefault(operator, 0) < Math.floor(guaranteedShards(operator)) ? 1 : 0);
            if (need > largestNeed) {
                neediest = operator;
                largestNeed = need;
            }
        }
        return neediest;
    }

    /** Returns the part of an operator's target count that the operator's own capacity covers. */
    private double guaranteedShards(String operator) {
        Party party = agreement == null ? null : agreement.party(operator);
        return party == null || party.share() == 0
                ? 0
                : targetCounts.get(operator) * (double) Math.min(party.share(), party.capacity()) / party.share();
    }
}
