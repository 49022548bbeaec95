package hopdrum.rig.check;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Rules "answer" and "once": what clients are owed for each RPC. */
final class RpcChecker {
    private static final long ANSWER_SLACK_US = 500_000; // beyond the deadline
    private static final long EXIT_SLACK_US = 100_000; // a process this close to its end owes no answer

    private final TrialLogs logs;
    private final TrialReport report;

    RpcChecker(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    /**
     * "answer": an RPC that a process accepted which runs and is not paused has one final answer, half a second after its
     * deadline at most.
     */
    void checkAnswered() {
        Map<String, Integer> byStatus = new TreeMap<>();
        for (RpcOutcome rpc : logs.rpcs()) {
            byStatus.merge(rpc.status(), 1, Integer::sum);
            if (isUnanswered(rpc) && isOwedAnswer(rpc)) {
                report.violation(
                        "answer",
                        rpc.endedUs(),
                        "RPC " + rpc.id() + " at " + rpc.door() + " ended as " + rpc.status() + " after "
                                + rpc.tookUs() / 1000 + " ms");
            }
        }
        if (!byStatus.isEmpty()) {
            report.measure("RPCs by status: " + byStatus);
        }
    }

    private boolean isUnanswered(RpcOutcome rpc) {
        return rpc.status().equals("broken")
                || rpc.status().equals("none")
                || rpc.tookUs() > logs.setup().deadlineUs() + ANSWER_SLACK_US;
    }

    private boolean isOwedAnswer(RpcOutcome rpc) {
        ProcessHistory processes = logs.processes();
        long dueUs = Math.min(rpc.endedUs(), rpc.sentUs() + logs.setup().deadlineUs() + ANSWER_SLACK_US);
        return !rpc.status().equals("unreachable")
                && processes.isRunningThroughout(rpc.door(), rpc.sentUs(), dueUs + EXIT_SLACK_US)
                && !processes.isPausedWithin(rpc.door(), rpc.sentUs(), rpc.endedUs())
                && !(rpc.status().equals("broken") && processes.isDrained(rpc.door(), rpc.sentUs()));
    }

    /** "once": an RPC whose method is not idempotent runs once at most. */
    void checkRunOnce() {
        Map<String, Integer> runs = new HashMap<>();
        for (Execution execution : logs.executions()) {
            if (execution.method().equals("once") && runs.merge(execution.rpc(), 1, Integer::sum) > 1) {
                report.violation("once", execution.atUs(), "RPC " + execution.rpc() + " ran twice");
            }
        }
    }
}
