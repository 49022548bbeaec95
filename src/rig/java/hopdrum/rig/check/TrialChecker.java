package hopdrum.rig.check;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * Checks the logs of one finished trial against all invariants and against the expectations of the trial file. The
 * class shares no code with the program under test. It is stateless and may be called from any thread.
 */
public final class TrialChecker {
    private TrialChecker() {}

    /**
     * Reads all logs of a trial and checks every rule.
     *
     * @param folder the trial's output folder, with {@code rig.jsonl} and one log per process
     * @return violations and measurements
     * @throws IOException if a log cannot be read or {@code rig.jsonl} does not describe a trial
     */
    public static TrialReport check(Path folder) throws IOException {
        TrialLogs logs = TrialLogs.read(folder);
        TrialReport report = new TrialReport(logs.beginUs());
        new ProcessChecker(logs, report).check();
        new ViewOrderChecker(logs, report).check();
        new ViewMajorityChecker(logs, report).check();
        new QuotaClaimChecker(logs, report).check();
        RequestChecker requests = new RequestChecker(logs, report);
        requests.checkAnswered();
        ShardHistory shards = ShardHistory.of(logs);
        if (logs.setup().shardCount() > 0) {
            checkShards(logs, shards, report);
        }
        new QuotaChecker(logs, shards, report).check();
        requests.checkRunOnce();
        new ExpectationChecker(logs, shards, report).check();
        reportSchedulingDelay(logs, report);
        return report;
    }

    private static void checkShards(TrialLogs logs, ShardHistory shards, TrialReport report) {
        ShardAgreementChecker agreement = new ShardAgreementChecker(logs, shards, report);
        agreement.checkMoves();
        ShardOwnershipChecker ownership = new ShardOwnershipChecker(logs, shards, report);
        ownership.checkOneOwner();
        ownership.checkExecutions();
        agreement.checkAgreed();
        ShardMoveCost cost = new ShardMoveCost(logs, shards, report);
        cost.reportGaps();
        cost.reportRequests();
    }

    /** Measures how late the rig's own threads woke, so that a slow machine is not mistaken for a slow program. */
    private static void reportSchedulingDelay(TrialLogs logs, TrialReport report) {
        List<Long> worstDelaysUs = logs.rigLog().stream()
                .filter(entry -> entry.hasEvent("late"))
                .map(entry -> entry.number("us"))
                .sorted()
                .toList();
        if (!worstDelaysUs.isEmpty()) {
            report.addMeasurement(String.format(
                    Locale.ROOT,
                    "scheduling delay of the rig, worst of each second: median %.1f ms, worst %.1f ms",
                    Percentiles.millis(worstDelaysUs, 50),
                    Percentiles.millis(worstDelaysUs, 100)));
        }
    }
}
