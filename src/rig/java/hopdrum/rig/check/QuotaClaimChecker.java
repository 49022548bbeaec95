package hopdrum.rig.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Rule "claims": at no moment do the gateways of one operator claim more than the whole of a quota together. */
final class QuotaClaimChecker {
    private static final double ROUNDING = 1e-9;

    /** A claim begins or ends: by how much the sum of all claims changes. */
    private record Change(long atUs, double amount) {}

    private final TrialLogs logs;
    private final TrialReport report;
    private final Map<String, List<Change>> changes = new HashMap<>(); // by operator

    QuotaClaimChecker(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    void check() {
        logs.doors().forEach(this::collect);
        changes.forEach(this::checkSum);
    }

    private void collect(String door, List<LogEntry> log) {
        List<LogEntry> claims = log.stream()
                .filter(entry -> entry.is("claim") || entry.is("starts"))
                .toList();
        for (int i = 0; i < claims.size(); i++) {
            LogEntry claim = claims.get(i);
            int gateways = claim.field("of").asInt();
            if (!claim.is("claim") || gateways <= 0) {
                continue;
            }
            long replacedUs = i + 1 < claims.size() ? claims.get(i + 1).atUs() : Long.MAX_VALUE;
            long processEndUs = logs.processes()
                    .runAt(door, claim.atUs())
                    .map(ProcessHistory.Run::untilUs)
                    .orElse(Long.MAX_VALUE);
            long untilUs = Math.min(Math.min(claim.number("until_us"), replacedUs), processEndUs);
            if (untilUs > claim.atUs()) {
                List<Change> sum = changes.computeIfAbsent(claim.text("operator"), operator -> new ArrayList<>());
                sum.add(new Change(claim.atUs(), 1.0 / gateways));
                sum.add(new Change(untilUs, -1.0 / gateways));
            }
        }
    }

    private void checkSum(String operator, List<Change> operatorChanges) {
        operatorChanges.sort(Comparator.comparingLong(Change::atUs).thenComparingDouble(Change::amount));
        double sum = 0;
        double most = 0;
        for (Change change : operatorChanges) {
            sum += change.amount;
            most = Math.max(most, sum);
            if (sum > 1 + ROUNDING) {
                report.violation(
                        "claims",
                        change.atUs,
                        String.format(Locale.ROOT, "the gateways of %s claim %.3f of the whole", operator, sum));
                return;
            }
        }
        report.measure(String.format(Locale.ROOT, "most claimed at once of %s's quotas: %.3f", operator, most));
    }
}
