package hopdrum.rig.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Checks the rule "claims": the gateways of one operator together never claim more than the whole of a quota. */
final class QuotaClaimChecker {
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** The begin or end of a claim, with the amount by which the sum of all claims changes: a share of the quota. */
    private record ClaimChange(long atUs, double amount) {}

    private final TrialLogs logs;
    private final TrialReport report;
    private final Map<String, List<ClaimChange>> changesByOperator = new HashMap<>();

    QuotaClaimChecker(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    void check() {
        logs.frontDoorLogs().forEach(this::collect);
        changesByOperator.forEach(this::checkSum);
    }

    private void collect(String frontDoor, List<LogEntry> log) {
        List<LogEntry> entries = log.stream()
                .filter(entry -> entry.hasEvent("claim") || entry.hasEvent("starts"))
                .toList();
        for (int i = 0; i < entries.size(); i++) {
            LogEntry entry = entries.get(i);
            int gateways = entry.field("of").asInt();
            if (!entry.hasEvent("claim") || gateways <= 0) {
                continue;
            }
            long supersededUs = i + 1 < entries.size() ? entries.get(i + 1).atUs() : Long.MAX_VALUE;
            long processEndUs = logs.processes()
                    .runAt(frontDoor, entry.atUs())
                    .map(ProcessHistory.Run::untilUs)
                    .orElse(Long.MAX_VALUE);
            long untilUs = Math.min(Math.min(entry.number("until_us"), supersededUs), processEndUs);
            if (untilUs > entry.atUs()) {
                List<ClaimChange> changes =
                        changesByOperator.computeIfAbsent(entry.text("operator"), operator -> new ArrayList<>());
                changes.add(new ClaimChange(entry.atUs(), 1.0 / gateways));
                changes.add(new ClaimChange(untilUs, -1.0 / gateways));
            }
        }
    }

    private void checkSum(String operator, List<ClaimChange> changes) {
        changes.sort(Comparator.comparingLong(ClaimChange::atUs).thenComparingDouble(ClaimChange::amount));
        double sum = 0;
        double largestSum = 0;
        for (ClaimChange change : changes) {
            sum += change.amount;
            largestSum = Math.max(largestSum, sum);
            if (sum > 1 + ROUNDING_TOLERANCE) {
                report.addViolation(
                        "claims",
                        change.atUs,
                        String.format(Locale.ROOT, "the gateways of %s claim %.3f of the whole", operator, sum));
                return;
            }
        }
        report.addMeasurement(
                String.format(Locale.ROOT, "largest share of %s's quotas claimed at once: %.3f", operator, largestSum));
    }
}
