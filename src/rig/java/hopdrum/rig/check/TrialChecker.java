package hopdrum.rig.check;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * Checks the logs of one finished trial against all invariants and against the expectations of its file. It shares no code
 * with the program under test. Stateless; callable from any thread.
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
        RpcChecker rpcs = new RpcChecker(logs, report);
        rpcs.checkAnswered();
        ShardHistory shards = ShardHistory.of(logs);
        if (logs.setup().shards() > 0) {
            checkShards(logs, shards, report);
        }
        new QuotaChecker(logs, shards, report).check();
        rpcs.checkRunOnce();
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
        cost.reportRpcs();
    }

    /** Not a rule: how late the rig's own threads woke, so that a slow machine is not mistaken for a slow program. */
    private static void reportSchedulingDelay(TrialLogs logs, TrialReport report) {
        List<Long> worst = logs.rig().stream()
                .filter(entry -> entry.is("late"))
                .map(entry -> entry.number("us"))
                .sorted()
                .toList();
        if (!worst.isEmpty()) {
            report.measure(String.format(
                    Locale.ROOT,
                    "the rig's own lateness, worst of each second: median %.1f ms, worst %.1f ms",
                    Percentiles.millis(worst, 50),
                    Percentiles.millis(worst, 100)));
        }
    }
}
