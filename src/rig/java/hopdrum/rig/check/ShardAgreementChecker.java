package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Rules "moves" and "agreed": shards are divided as the operators agreed. */
final class ShardAgreementChecker {
    /** What an operator may change alone, by giving notice. */
    private static final Set<String> NOTICE_KEYS = Set.of("revision", "until_ms");

    /** One epoch of an agreement; its index counts from 1970. */
    private record Epoch(long era, long lengthMs, long index) {}

    private final TrialLogs logs;
    private final ShardHistory shards;
    private final TrialReport report;

    ShardAgreementChecker(TrialLogs logs, ShardHistory shards, TrialReport report) {
        this.logs = logs;
        this.shards = shards;
        this.report = report;
    }

    /** "moves": no more shards change their owner in an epoch than the agreement allows. */
    void checkMoves() {
        int shardCount = logs.setup().shards();
        List<ShardAssignment> assignments = shards.assignments();
        Map<Epoch, Integer> moves = new HashMap<>();
        for (int i = 1; i < assignments.size(); i++) {
            ShardAssignment before = assignments.get(i - 1);
            ShardAssignment assignment = assignments.get(i);
            long epochMs = assignment.epochMs();
            Epoch epoch = new Epoch(assignment.version().era(), epochMs, assignment.asOfMs() / epochMs);
            int moved =
                    moves.merge(epoch, assignment.movedSince(before, shardCount).size(), Integer::sum);
            int allowed = assignment.movesAllowed(shardCount);
            boolean isFirstOfEra = assignment.version().number() == 1;
            boolean isAmended = !assignment.agreement().equals(before.agreement());
            if (moved > allowed && !isFirstOfEra && !isAmended) {
                report.violation(
                        "moves",
                        assignment.atUs(),
                        assignment.door() + ": " + moved + " shards moved in one epoch, " + allowed + " at most");
            }
        }
    }

    /**
     * "agreed": no agreement is in force that a party named in it has not accepted, unless it differs from the one before
     * only by a notice.
     */
    void checkAgreed() {
        Map<String, Set<String>> accepted = acceptedTerms();
        JsonNode before = null;
        for (ShardAssignment assignment : shards.assignments()) {
            JsonNode agreement = assignment.agreement();
            if (agreement.size() > 0 && !agreement.equals(before)) {
                checkParties(assignment, before, accepted.getOrDefault(agreement.toString(), Set.of()));
                before = agreement;
            }
        }
    }

    /** By terms, as they are written: the operators that accepted them. */
    private Map<String, Set<String>> acceptedTerms() {
        Map<String, Set<String>> accepted = new HashMap<>();
        logs.doors()
                .forEach((door, log) -> log.stream()
                        .filter(entry -> entry.is("agrees"))
                        .forEach(entry -> accepted.computeIfAbsent(
                                        entry.field("terms").toString(), terms -> new HashSet<>())
                                .add(logs.setup().operatorOf(door))));
        return accepted;
    }

    private void checkParties(ShardAssignment assignment, JsonNode before, Set<String> accepted) {
        JsonNode agreement = assignment.agreement();
        if (before != null && isNotice(before, agreement) && !accepted.isEmpty()) {
            return;
        }
        for (Map.Entry<String, JsonNode> party : agreement.path("parties").properties()) {
            if (!accepted.contains(party.getKey())) {
                report.violation(
                        "agreed",
                        assignment.atUs(),
                        assignment.door() + ": revision " + agreement.path("revision") + " is in force, "
                                + party.getKey() + " has not agreed to it");
            }
        }
    }

    /** Whether the terms are the same one revision on, but end sooner. */
    private static boolean isNotice(JsonNode before, JsonNode after) {
        for (Map.Entry<String, JsonNode> field : before.properties()) {
            if (!NOTICE_KEYS.contains(field.getKey()) && !field.getValue().equals(after.path(field.getKey()))) {
                return false;
            }
        }
        return after.path("until_ms").asLong() < before.path("until_ms").asLong();
    }
}
