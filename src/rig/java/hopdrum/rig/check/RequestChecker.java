package hopdrum.rig.check;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Checks the rules "answer" and "once": each request has an answer in time, and is not executed twice. */
final class RequestChecker {
    private static final long ANSWER_TOLERANCE_US = 500_000; // after the deadline
    private static final long EXIT_TOLERANCE_US = 100_000; // a process that ends sooner than this owes no answer

    private final TrialLogs logs;
    private final TrialReport report;

    RequestChecker(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    /**
     * Rule "answer": a request has a final answer at most half a second after its deadline if the process that accepted
     * it kept running and was not paused. A connection that breaks may mean that it was refused after SIGTERM; no
     * answer is owed for it then. Measures the number of requests by status.
     */
    void checkAnswered() {
        Map<String, Integer> countByStatus = new TreeMap<>();
        for (RequestOutcome request : logs.requests()) {
            countByStatus.merge(request.status(), 1, Integer::sum);
            if (isUnanswered(request) && isOwedAnswer(request)) {
                report.addViolation(
                        "answer",
                        request.endedUs(),
                        "request " + request.id() + " at " + request.frontDoor() + " ended as " + request.status()
                                + " after " + request.tookUs() / 1000 + " ms");
            }
        }
        if (!countByStatus.isEmpty()) {
            report.addMeasurement("requests by status: " + countByStatus);
        }
    }

    private boolean isUnanswered(RequestOutcome request) {
        return request.status().equals("broken")
                || request.status().equals("none")
                || request.tookUs() > logs.setup().requestDeadlineUs() + ANSWER_TOLERANCE_US;
    }

    private boolean isOwedAnswer(RequestOutcome request) {
        ProcessHistory processes = logs.processes();
        long dueUs =
                Math.min(request.endedUs(), request.sentUs() + logs.setup().requestDeadlineUs() + ANSWER_TOLERANCE_US);
        return !request.status().equals("unreachable")
                && processes.isRunningThroughout(request.frontDoor(), request.sentUs(), dueUs + EXIT_TOLERANCE_US)
                && !processes.isPausedWithin(request.frontDoor(), request.sentUs(), request.endedUs())
                && !(request.status().equals("broken")
                        && processes.mayRefuseConnections(request.frontDoor(), request.sentUs()));
    }

    /** Rule "once": a request whose method is not idempotent is executed at most once. */
    void checkRunOnce() {
        Map<String, Integer> runsByRequest = new HashMap<>();
        for (Execution execution : logs.executions()) {
            if (execution.method().equals("once") && runsByRequest.merge(execution.requestId(), 1, Integer::sum) > 1) {
                report.addViolation(
                        "once", execution.atUs(), "request " + execution.requestId() + " was executed more than once");
            }
        }
    }
}
