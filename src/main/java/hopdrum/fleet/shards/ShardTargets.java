package hopdrum.fleet.shards;

import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The number of shards that each operator is to own by the weights of an agreement. The numbers are rounded by the
 * largest remainder method, so that each differs from the exact share by less than one shard. Immutable.
 */
final class ShardTargets {
    private final int shardCount;
    private final PartnerAgreement agreement; // null if there is none; then all operators have the same weight
    private final boolean isExpired;
    private final long nowMs;

    ShardTargets(int shardCount, PartnerAgreement agreement, boolean isExpired, long nowMs) {
        this.shardCount = shardCount;
        this.agreement = agreement;
        this.isExpired = isExpired;
        this.nowMs = nowMs;
    }

    /**
     * Computes the target counts of all operators. An absent operator keeps its shards, unless others stand in for it,
     * or the agreement has expired and its floor is lower.
     *
     * @param operators all operators
     * @param absentSinceMs the operators that have no member in the view, and since when, milliseconds of the wall
     *     clock
     * @param ownedCounts the number of shards that each operator owns; an operator without an entry owns none
     * @return the number of shards by operator; the sum is the number of all shards
     */
    Map<String, Integer> compute(
            Set<String> operators, Map<String, Long> absentSinceMs, Map<String, Integer> ownedCounts) {
        Map<String, Integer> weights = new TreeMap<>();
        operators.forEach(operator -> weights.put(operator, weight(operator)));
        equalizeIfAllZero(weights);
        long totalWeight = sum(weights);
        Map<String, Integer> targetCounts = new HashMap<>();
        int freeShards = shardCount;
        for (Map.Entry<String, Long> absent : absentSinceMs.entrySet()) {
            String operator = absent.getKey();
            int keptShards = hasStandIns(absent.getValue()) ? 0 : ownedCounts.getOrDefault(operator, 0);
            if (isExpired) {
                keptShards = Math.min(keptShards, floorShards(shardCount, weights.get(operator), totalWeight));
            }
            targetCounts.put(operator, keptShards);
            freeShards -= keptShards;
            weights.remove(operator);
        }
        equalizeIfAllZero(weights);
        distributeByLargestRemainder(freeShards, weights, targetCounts);
        operators.forEach(operator -> targetCounts.putIfAbsent(operator, 0));
        return targetCounts;
    }

    private int weight(String operator) {
        if (agreement == null) {
            return 1;
        }
        Party party = agreement.party(operator);
        if (party == null) {
            return 0;
        }
        return isExpired ? party.floor() : party.share();
    }

    private boolean hasStandIns(long absentSinceMs) {
        return agreement != null && agreement.standIn() && nowMs - absentSinceMs >= agreement.aloneMs();
    }

    /** Sets all weights to 1 if all are 0, since some operator has to own the shards. */
    private static void equalizeIfAllZero(Map<String, Integer> weights) {
        if (weights.values().stream().allMatch(weight -> weight == 0)) {
            weights.replaceAll((operator, weight) -> 1);
        }
    }

    private static long sum(Map<String, Integer> weights) {
        return weights.values().stream().mapToLong(weight -> weight).sum();
    }

    /** Distributes shards by the largest remainder method; ties are broken by operator name. */
    private static void distributeByLargestRemainder(
            int freeShards, Map<String, Integer> weights, Map<String, Integer> targetCounts) {
        long totalWeight = sum(weights);
        int distributedShards = 0;
        for (Map.Entry<String, Integer> weight : weights.entrySet()) {
            int quotient = (int) (freeShards * (long) weight.getValue() / totalWeight);
            targetCounts.put(weight.getKey(), quotient);
            distributedShards += quotient;
        }
        List<String> operatorsByRemainder = new ArrayList<>(weights.keySet());
        operatorsByRemainder.sort(Comparator.comparingLong(
                        (String operator) -> -(freeShards * (long) weights.get(operator) % totalWeight))
                .thenComparing(Comparator.naturalOrder()));
        for (int i = 0; i < freeShards - distributedShards && !operatorsByRemainder.isEmpty(); i++) {
            targetCounts.merge(operatorsByRemainder.get(i), 1, Integer::sum);
        }
    }

    /** Returns the number of whole shards in a weight's share of all shards. */
    static int floorShards(int shardCount, int weight, long totalWeight) {
        return totalWeight == 0 ? 0 : (int) (shardCount * (long) weight / totalWeight);
    }
}
