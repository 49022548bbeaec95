package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks the rules "moves" and "agreed": shards are assigned to operators as the operators agreed. */
final class ShardAgreementChecker {
    /** The keys of the terms that an operator may change without the others' consent, by giving notice. */
    private static final Set<String> NOTICE_KEYS = Set.of("revision", "until_ms");

    /** One epoch of an agreement; the index counts epochs since 1970-01-01 UTC. */
    private record Epoch(long era, long lengthMs, long index) {}

    private final TrialLogs logs;
    private final ShardHistory shards;
    private final TrialReport report;

    ShardAgreementChecker(TrialLogs logs, ShardHistory shards, TrialReport report) {
        this.logs = logs;
        this.shards = shards;
        this.report = report;
    }

    /** Rule "moves": no more shards change their owner in one epoch than the agreement allows. */
    void checkMoves() {
        int shardCount = logs.setup().shardCount();
        List<ShardAssignment> assignments = shards.assignments();
        Map<Epoch, Integer> movesByEpoch = new HashMap<>();
        for (int i = 1; i < assignments.size(); i++) {
            ShardAssignment previous = assignments.get(i - 1);
            ShardAssignment assignment = assignments.get(i);
            long epochMs = assignment.epochMs();
            Epoch epoch = new Epoch(assignment.version().era(), epochMs, assignment.asOfMs() / epochMs);
            int moved = movesByEpoch.merge(
                    epoch, assignment.movedSince(previous, shardCount).size(), Integer::sum);
            int allowed = assignment.movesAllowed(shardCount);
            boolean isFirstOfEra = assignment.version().number() == 1;
            boolean isAmended = !assignment.agreement().equals(previous.agreement());
            if (moved > allowed && !isFirstOfEra && !isAmended) {
                report.addViolation(
                        "moves",
                        assignment.atUs(),
                        assignment.frontDoor() + ": " + moved + " shards moved in one epoch, at most " + allowed
                                + " are allowed");
            }
        }
    }

    /**
     * Rule "agreed": every agreement in force was accepted by all parties named in it, unless it differs from the
     * preceding agreement only by a notice.
     */
    void checkAgreed() {
        Map<String, Set<String>> accepted = acceptedTerms();
        JsonNode previous = null;
        for (ShardAssignment assignment : shards.assignments()) {
            JsonNode agreement = assignment.agreement();
            if (agreement.size() > 0 && !agreement.equals(previous)) {
                checkParties(assignment, previous, accepted.getOrDefault(agreement.toString(), Set.of()));
                previous = agreement;
            }
        }
    }

    /** Returns the operators that accepted each set of terms, by the text of the terms. */
    private Map<String, Set<String>> acceptedTerms() {
        Map<String, Set<String>> accepted = new HashMap<>();
        logs.frontDoorLogs()
                .forEach((frontDoor, log) -> log.stream()
                        .filter(entry -> entry.hasEvent("agrees"))
                        .forEach(entry -> accepted.computeIfAbsent(
                                        entry.field("terms").toString(), terms -> new HashSet<>())
                                .add(logs.setup().operatorOf(frontDoor))));
        return accepted;
    }

    private void checkParties(ShardAssignment assignment, JsonNode previous, Set<String> accepted) {
        JsonNode agreement = assignment.agreement();
        if (previous != null && isNotice(previous, agreement) && !accepted.isEmpty()) {
            return;
        }
        for (Map.Entry<String, JsonNode> party : agreement.path("parties").properties()) {
            if (!accepted.contains(party.getKey())) {
                report.addViolation(
                        "agreed",
                        assignment.atUs(),
                        assignment.frontDoor() + ": revision " + agreement.path("revision") + " is in force, but "
                                + party.getKey() + " has not agreed to it");
            }
        }
    }

    /** Whether the later terms differ from the earlier ones only in the revision and in an earlier end. */
    private static boolean isNotice(JsonNode previous, JsonNode after) {
        for (Map.Entry<String, JsonNode> field : previous.properties()) {
            if (!NOTICE_KEYS.contains(field.getKey()) && !field.getValue().equals(after.path(field.getKey()))) {
                return false;
            }
        }
        return after.path("until_ms").asLong() < previous.path("until_ms").asLong();
    }
}
