package hopdrum.rig.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Rules "quota" and "ceiling", over every window of a customer's admitted RPCs.
 *
 * <p>Quota: at most two bursts (one at the counter, one in the local buckets that start as the counter falls silent; one more
 * for each further loss of the counter and each move of the customer's shard), the rate, and one RPC for each gateway, whose
 * slice may be less than one. Ceiling: at most its burst and its rate, whether shards move or not.
 */
final class QuotaChecker {
    private static final long COUNTER_LOSS_BUCKET_US = 1_000_000; // losses within one second are one

    private final TrialLogs logs;
    private final TrialSetup setup;
    private final ShardHistory shards;
    private final TrialReport report;
    private final long counterLosses;
    private double largestExcess = Double.NEGATIVE_INFINITY;
    private double largestCeilingShare;

    QuotaChecker(TrialLogs logs, ShardHistory shards, TrialReport report) {
        this.logs = logs;
        this.setup = logs.setup();
        this.shards = shards;
        this.report = report;
        this.counterLosses = logs.rig().stream()
                .filter(entry -> entry.is("counter") && !entry.text("is").equals("well"))
                .map(entry -> entry.atUs() / COUNTER_LOSS_BUCKET_US)
                .distinct()
                .count();
    }

    void check() {
        Map<Integer, List<RpcOutcome>> admitted = new TreeMap<>();
        logs.rpcs().stream()
                .filter(RpcOutcome::isOk)
                .forEach(rpc -> admitted.computeIfAbsent(rpc.customer(), customer -> new ArrayList<>())
                        .add(rpc));
        for (Map.Entry<Integer, List<RpcOutcome>> customer : admitted.entrySet()) {
            customer.getValue().sort(Comparator.comparingLong(RpcOutcome::sentUs));
            if (!checkWindows(customer.getKey(), customer.getValue())) {
                return;
            }
        }
        if (largestCeilingShare > 0) {
            report.measure(String.format(Locale.ROOT, "closest to a ceiling: %.2f of it", largestCeilingShare));
        }
        if (!admitted.isEmpty()) {
            report.measure(
                    String.format(Locale.ROOT, "closest to the bound on a quota: %.1f RPCs below it", -largestExcess));
        }
    }

    /** Every window from one RPC's sending to the end of a later one. False at the first violation. */
    private boolean checkWindows(int customer, List<RpcOutcome> rpcs) {
        for (int first = 0; first < rpcs.size(); first++) {
            long fromUs = rpcs.get(first).sentUs();
            long untilUs = rpcs.get(first).endedUs();
            for (int last = first; last < rpcs.size(); last++) {
                untilUs = Math.max(untilUs, rpcs.get(last).endedUs());
                if (!checkWindow(customer, last - first + 1, fromUs, untilUs)) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean checkWindow(int customer, int count, long fromUs, long untilUs) {
        double most = setup.burst() * (1 + Math.max(1, counterLosses) + shards.countMoves(customer, fromUs, untilUs))
                + setup.rate() * (untilUs - fromUs) / 1e6
                + setup.largestTier();
        largestExcess = Math.max(largestExcess, count - most);
        if (setup.ceilingRate() > 0) {
            double ceiling = setup.ceilingBurst() + setup.ceilingRate() * (untilUs - fromUs) / 1e6;
            largestCeilingShare = Math.max(largestCeilingShare, count / ceiling);
            if (count > ceiling) {
                report.violation(
                        "ceiling",
                        untilUs,
                        "customer " + customer + " had " + count + " RPCs in, its ceiling is " + ceiling);
                return false;
            }
        }
        if (count > most) {
            report.violation(
                    "quota", untilUs, "customer " + customer + " had " + count + " RPCs in, " + most + " at most");
            return false;
        }
        return true;
    }
}
