package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The settings of a trial, as the rig's first log entry describes them.
 *
 * @param probePeriodUs the fleet's probe period, in microseconds
 * @param requestDeadlineUs the deadline of each request, in microseconds
 * @param quotaRate a customer's quota, in requests per second
 * @param quotaBurst the burst of a customer's quota, in requests
 * @param ceilingRate a customer's ceiling over all operators, in requests per second; 0 if there is none
 * @param ceilingBurst the ceiling's burst, in requests
 * @param shardCount the number of shards that customers are divided into; 0 if there are none
 * @param maxGatewaysPerOperator the largest number of gateways that one operator has
 * @param operatorByFrontDoor the operator of each front door, by the front door's name
 * @param siteByFrontDoor the site of each front door, by the front door's name
 * @param founders the names of the members of the fleet's first view
 */
record TrialSetup(
        long probePeriodUs,
        long requestDeadlineUs,
        double quotaRate,
        double quotaBurst,
        double ceilingRate,
        double ceilingBurst,
        int shardCount,
        int maxGatewaysPerOperator,
        Map<String, String> operatorByFrontDoor,
        Map<String, String> siteByFrontDoor,
        Set<String> founders) {

    static TrialSetup of(JsonNode description) {
        int maxGatewaysPerOperator = 0;
        for (JsonNode tier : description.path("tiers")) {
            maxGatewaysPerOperator = Math.max(maxGatewaysPerOperator, tier.size());
        }
        Set<String> founders = new LinkedHashSet<>();
        description.path("founders").forEach(founder -> founders.add(founder.asText()));
        return new TrialSetup(
                description.path("period_us").asLong(),
                description.path("deadline_us").asLong(),
                description.path("rate").asDouble(),
                description.path("burst").asDouble(),
                description.path("ceiling_rate").asDouble(),
                description.path("ceiling_burst").asDouble(),
                description.path("shards").asInt(),
                maxGatewaysPerOperator,
                readTextByKey(description.path("doors")),
                readTextByKey(description.path("sites")),
                founders);
    }

    private static Map<String, String> readTextByKey(JsonNode object) {
        Map<String, String> textByKey = new LinkedHashMap<>();
        object.properties()
                .forEach(field -> textByKey.put(field.getKey(), field.getValue().asText()));
        return textByKey;
    }

    /** Returns the operator of a front door; empty if the front door is unknown. */
    String operatorOf(String frontDoor) {
        return operatorByFrontDoor.getOrDefault(frontDoor, "");
    }

    /** Returns the site of a front door; empty if the front door is unknown. */
    String siteOf(String frontDoor) {
        return siteByFrontDoor.getOrDefault(frontDoor, "");
    }
}
