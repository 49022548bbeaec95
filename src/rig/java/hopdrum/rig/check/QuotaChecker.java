package hopdrum.rig.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the rules "quota" and "ceiling" over every time window of a customer's admitted requests.
 *
 * <p>The quota allows at most two bursts, the rate over the window, and one request for each gateway, because a
 * gateway's slice of the quota may be less than one request. One burst is the counter's; the other belongs to the local
 * token buckets that start when the counter stops responding. Each further loss of the counter and each move of the
 * customer's shard allows one more burst. The ceiling allows at most its burst and its rate, whether shards move or
 * not.
 */
final class QuotaChecker {
    private static final long COUNTER_LOSS_INTERVAL_US = 1_000_000; // losses in the same second count once

    private final TrialLogs logs;
    private final TrialSetup setup;
    private final ShardHistory shards;
    private final TrialReport report;
    private final long counterLossCount;
    private double largestExcess = Double.NEGATIVE_INFINITY; // in requests; negative while below the bound
    private double largestCeilingShare; // of the requests that the ceiling allows

    QuotaChecker(TrialLogs logs, ShardHistory shards, TrialReport report) {
        this.logs = logs;
        this.setup = logs.setup();
        this.shards = shards;
        this.report = report;
        this.counterLossCount = logs.rigLog().stream()
                .filter(entry -> entry.hasEvent("counter") && !entry.text("is").equals("well"))
                .map(entry -> entry.atUs() / COUNTER_LOSS_INTERVAL_US)
                .distinct()
                .count();
    }

    void check() {
        Map<Integer, List<RequestOutcome>> admittedByCustomer = new TreeMap<>();
        logs.requests().stream()
                .filter(RequestOutcome::isOk)
                .forEach(request -> admittedByCustomer
                        .computeIfAbsent(request.customer(), customer -> new ArrayList<>())
                        .add(request));
        for (Map.Entry<Integer, List<RequestOutcome>> customer : admittedByCustomer.entrySet()) {
            customer.getValue().sort(Comparator.comparingLong(RequestOutcome::sentUs));
            if (!checkWindows(customer.getKey(), customer.getValue())) {
                return;
            }
        }
        if (largestCeilingShare > 0) {
            report.addMeasurement(
                    String.format(Locale.ROOT, "largest share of a ceiling used: %.2f", largestCeilingShare));
        }
        if (!admittedByCustomer.isEmpty()) {
            report.addMeasurement(String.format(
                    Locale.ROOT, "closest to the bound on a quota: %.1f requests below it", -largestExcess));
        }
    }

    /**
     * Checks every window from the sending of one request to the end of the same or a later request. The requests are
     * sorted by the time of sending. Returns false at the first violation.
     */
    private boolean checkWindows(int customer, List<RequestOutcome> requests) {
        for (int first = 0; first < requests.size(); first++) {
            long fromUs = requests.get(first).sentUs();
            long untilUs = requests.get(first).endedUs();
            for (int last = first; last < requests.size(); last++) {
                untilUs = Math.max(untilUs, requests.get(last).endedUs());
                if (!checkWindow(customer, last - first + 1, fromUs, untilUs)) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean checkWindow(int customer, int admittedCount, long fromUs, long untilUs) {
        double bound =
                setup.quotaBurst() * (1 + Math.max(1, counterLossCount) + shards.countMoves(customer, fromUs, untilUs))
                        + setup.quotaRate() * (untilUs - fromUs) / 1e6
                        + setup.maxGatewaysPerOperator();
        largestExcess = Math.max(largestExcess, admittedCount - bound);
        if (setup.ceilingRate() > 0) {
            double ceiling = setup.ceilingBurst() + setup.ceilingRate() * (untilUs - fromUs) / 1e6;
            largestCeilingShare = Math.max(largestCeilingShare, admittedCount / ceiling);
            if (admittedCount > ceiling) {
                report.addViolation(
                        "ceiling",
                        untilUs,
                        "customer " + customer + " had " + admittedCount + " requests admitted, its ceiling allows "
                                + ceiling);
                return false;
            }
        }
        if (admittedCount > bound) {
            report.addViolation(
                    "quota",
                    untilUs,
                    "customer " + customer + " had " + admittedCount + " requests admitted, at most " + bound
                            + " are allowed");
            return false;
        }
        return true;
    }
}
