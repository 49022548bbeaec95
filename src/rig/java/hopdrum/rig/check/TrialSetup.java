package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The trial as the rig's first log entry describes it.
 *
 * @param periodUs the fleet's probe period
 * @param deadlineUs the deadline of each RPC
 * @param rate a customer's quota, RPCs a second
 * @param burst a customer's burst, RPCs
 * @param ceilingRate a customer's ceiling over all operators, RPCs a second; 0: none
 * @param ceilingBurst the ceiling's burst, RPCs
 * @param shards how many shards customers are divided into; 0: none
 * @param largestTier the most gateways that one operator has
 * @param operators the operator of each door
 * @param sites the site of each door
 * @param founders the members of the fleet's first view
 */
record TrialSetup(
        long periodUs,
        long deadlineUs,
        double rate,
        double burst,
        double ceilingRate,
        double ceilingBurst,
        int shards,
        int largestTier,
        Map<String, String> operators,
        Map<String, String> sites,
        Set<String> founders) {

    static TrialSetup of(JsonNode trial) {
        int largestTier = 0;
        for (JsonNode tier : trial.path("tiers")) {
            largestTier = Math.max(largestTier, tier.size());
        }
        Set<String> founders = new LinkedHashSet<>();
        trial.path("founders").forEach(founder -> founders.add(founder.asText()));
        return new TrialSetup(
                trial.path("period_us").asLong(),
                trial.path("deadline_us").asLong(),
                trial.path("rate").asDouble(),
                trial.path("burst").asDouble(),
                trial.path("ceiling_rate").asDouble(),
                trial.path("ceiling_burst").asDouble(),
                trial.path("shards").asInt(),
                largestTier,
                texts(trial.path("doors")),
                texts(trial.path("sites")),
                founders);
    }

    private static Map<String, String> texts(JsonNode object) {
        Map<String, String> texts = new LinkedHashMap<>();
        object.properties()
                .forEach(field -> texts.put(field.getKey(), field.getValue().asText()));
        return texts;
    }

    /** The operator of a door; empty if unknown. */
    String operatorOf(String door) {
        return operators.getOrDefault(door, "");
    }

    /** The site of a door; empty if unknown. */
    String siteOf(String door) {
        return sites.getOrDefault(door, "");
    }
}
