package hopdrum.rig.check;

import hopdrum.rig.check.ShardHistory.OwnershipPeriod;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the rules "one-owner", "owner" and "one-operator": who acts on a shard, and whose backends execute its
 * requests.
 */
final class ShardOwnershipChecker {
    private static final long LOG_DELAY_US = 20_000; // at most, from an event to its log line

    private final TrialLogs logs;
    private final ShardHistory shards;
    private final TrialReport report;

    ShardOwnershipChecker(TrialLogs logs, ShardHistory shards, TrialReport report) {
        this.logs = logs;
        this.shards = shards;
        this.report = report;
    }

    /** Rule "one-owner": front doors of two operators never act on the same shard at the same time. */
    void checkOneOwner() {
        for (int shard = 0; shard < logs.setup().shardCount(); shard++) {
            checkOneOwner(shard);
        }
    }

    private void checkOneOwner(int shard) {
        List<OwnershipPeriod> ownershipPeriods = new ArrayList<>(shards.ownershipPeriodsOf(shard));
        ownershipPeriods.sort(Comparator.comparingLong(OwnershipPeriod::fromUs));
        Map<String, OwnershipPeriod> lastEnding = new HashMap<>(); // by operator: the period so far that ends last
        for (OwnershipPeriod period : ownershipPeriods) {
            for (OwnershipPeriod other : lastEnding.values()) {
                if (!other.operator().equals(period.operator()) && other.untilUs() > period.fromUs()) {
                    report.addViolation(
                            "one-owner",
                            period.fromUs(),
                            period.frontDoor() + " of " + period.operator() + " and " + other.frontDoor() + " of "
                                    + other.operator() + " act on shard " + shard);
                    return;
                }
            }
            lastEnding.merge(
                    period.operator(), period, (first, second) -> first.untilUs() >= second.untilUs() ? first : second);
        }
    }

    /**
     * Rule "owner": a request is executed at an operator's backends only if one of the operator's front doors acted on
     * the customer's shard at some time between the sending of the request and its execution. Rule "one-operator": no
     * request is executed at the backends of two operators.
     */
    void checkExecutions() {
        Map<String, RequestOutcome> requests = new HashMap<>();
        logs.requests().forEach(request -> requests.put(request.id(), request));
        Map<String, String> firstOperators = new HashMap<>(); // by request: whose backend executed it first
        for (Execution execution : logs.executions()) {
            RequestOutcome request = requests.get(execution.requestId());
            if (request == null) {
                continue;
            }
            String firstOperator = firstOperators.putIfAbsent(request.id(), execution.operator());
            if (firstOperator != null && !firstOperator.equals(execution.operator())) {
                report.addViolation(
                        "one-operator",
                        execution.atUs(),
                        "request " + request.id() + " was executed at " + firstOperator + "'s and at "
                                + execution.operator() + "'s backends");
            }
            checkOwner(request, execution);
        }
    }

    private void checkOwner(RequestOutcome request, Execution execution) {
        int shard = shards.shardOf(request.customer());
        boolean isOwned = shards.ownershipPeriodsOf(shard).stream()
                .anyMatch(period -> period.operator().equals(execution.operator())
                        && period.fromUs() <= execution.atUs() + LOG_DELAY_US
                        && period.untilUs() >= request.sentUs() - LOG_DELAY_US);
        if (!isOwned) {
            report.addViolation(
                    "owner",
                    execution.atUs(),
                    "request " + request.id() + " of shard " + shard + " was executed at " + execution.operator()
                            + "'s backends, but none of its front doors acted on the shard");
        }
    }
}
