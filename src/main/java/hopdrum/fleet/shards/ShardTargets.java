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
 * How many shards each operator is to own, by the weights of an agreement: largest remainder, met within one shard.
 * Immutable.
 */
final class ShardTargets {
    private final int shards;
    private final PartnerAgreement agreement; // null if there is none: all have the same weight
    private final boolean isExpired;
    private final long nowMs;

    ShardTargets(int shards, PartnerAgreement agreement, boolean isExpired, long nowMs) {
        this.shards = shards;
        this.agreement = agreement;
        this.isExpired = isExpired;
        this.nowMs = nowMs;
    }

    /**
     * Computes the targets of all operators. An absent one keeps what it owns, unless others stand in for it, or the
     * agreement has expired and left it less.
     *
     * @param operators all operators
     * @param absentSinceMs those of them that have no member in the view, and since when
     * @param owned how many shards each owns
     * @return shards by operator, as many as there are in all
     */
    Map<String, Integer> compute(Set<String> operators, Map<String, Long> absentSinceMs, Map<String, Integer> owned) {
        Map<String, Integer> weights = new TreeMap<>();
        operators.forEach(operator -> weights.put(operator, weight(operator)));
        replaceZeroWeights(weights);
        long totalWeight = sum(weights);
        Map<String, Integer> target = new HashMap<>();
        int free = shards;
        for (Map.Entry<String, Long> absent : absentSinceMs.entrySet()) {
            String operator = absent.getKey();
            int keeps = isStoodInFor(absent.getValue()) ? 0 : owned.getOrDefault(operator, 0);
            if (isExpired) {
                keeps = Math.min(keeps, floorShards(shards, weights.get(operator), totalWeight));
            }
            target.put(operator, keeps);
            free -= keeps;
            weights.remove(operator);
        }
        replaceZeroWeights(weights);
        distribute(free, weights, target);
        operators.forEach(operator -> target.putIfAbsent(operator, 0));
        return target;
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

    private boolean isStoodInFor(long absentSinceMs) {
        return agreement != null && agreement.standIn() && nowMs - absentSinceMs >= agreement.aloneMs();
    }

    /** Some operator has to own the shards, even where all weights are 0. */
    private static void replaceZeroWeights(Map<String, Integer> weights) {
        if (weights.values().stream().allMatch(weight -> weight == 0)) {
            weights.replaceAll((operator, weight) -> 1);
        }
    }

    private static long sum(Map<String, Integer> weights) {
        return weights.values().stream().mapToLong(weight -> weight).sum();
    }

    /** By the largest remainder; ties by name. */
    private static void distribute(int free, Map<String, Integer> weights, Map<String, Integer> target) {
        long total = sum(weights);
        int distributed = 0;
        for (Map.Entry<String, Integer> weight : weights.entrySet()) {
            int quotient = (int) (free * (long) weight.getValue() / total);
            target.put(weight.getKey(), quotient);
            distributed += quotient;
        }
        List<String> byRemainder = new ArrayList<>(weights.keySet());
        byRemainder.sort(Comparator.comparingLong((String operator) -> -(free * (long) weights.get(operator) % total))
                .thenComparing(Comparator.naturalOrder()));
        for (int i = 0; i < free - distributed && !byRemainder.isEmpty(); i++) {
            target.merge(byRemainder.get(i), 1, Integer::sum);
        }
    }

    /** How many whole shards a weight is of all. */
    static int floorShards(int shards, int weight, long totalWeight) {
        return totalWeight == 0 ? 0 : (int) (shards * (long) weight / totalWeight);
    }
}
