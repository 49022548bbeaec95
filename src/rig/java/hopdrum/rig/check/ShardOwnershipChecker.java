package hopdrum.rig.check;

import hopdrum.rig.check.ShardHistory.Tenure;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Rules "one-owner", "owner" and "one-operator": who acts on a shard, and where its RPCs run. */
final class ShardOwnershipChecker {
    private static final long LOG_DELAY_US = 20_000; // between an event and its line in a log

    private final TrialLogs logs;
    private final ShardHistory shards;
    private final TrialReport report;

    ShardOwnershipChecker(TrialLogs logs, ShardHistory shards, TrialReport report) {
        this.logs = logs;
        this.shards = shards;
        this.report = report;
    }

    /** "one-owner": at no moment do doors of two operators act on one shard. */
    void checkOneOwner() {
        for (int shard = 0; shard < logs.setup().shards(); shard++) {
            checkOneOwner(shard);
        }
    }

    private void checkOneOwner(int shard) {
        List<Tenure> tenures = new ArrayList<>(shards.tenuresOf(shard));
        tenures.sort(Comparator.comparingLong(Tenure::fromUs));
        Map<String, Tenure> longest = new HashMap<>(); // by operator: the tenure so far that ends last
        for (Tenure tenure : tenures) {
            for (Tenure other : longest.values()) {
                if (!other.operator().equals(tenure.operator()) && other.untilUs() > tenure.fromUs()) {
                    report.violation(
                            "one-owner",
                            tenure.fromUs(),
                            tenure.door() + " of " + tenure.operator() + " and " + other.door() + " of "
                                    + other.operator() + " act on shard " + shard);
                    return;
                }
            }
            longest.merge(
                    tenure.operator(), tenure, (first, second) -> first.untilUs() >= second.untilUs() ? first : second);
        }
    }

    /**
     * "owner": an RPC runs at an operator's backends only if a door of it acted on the customer's shard while the RPC was
     * under way. "one-operator": no RPC runs at two operators' backends.
     */
    void checkExecutions() {
        Map<String, RpcOutcome> rpcs = new HashMap<>();
        logs.rpcs().forEach(rpc -> rpcs.put(rpc.id(), rpc));
        Map<String, String> operators = new HashMap<>(); // by RPC: where it ran first
        for (Execution execution : logs.executions()) {
            RpcOutcome rpc = rpcs.get(execution.rpc());
            if (rpc == null) {
                continue;
            }
            String before = operators.putIfAbsent(rpc.id(), execution.operator());
            if (before != null && !before.equals(execution.operator())) {
                report.violation(
                        "one-operator",
                        execution.atUs(),
                        "RPC " + rpc.id() + " ran at " + before + "'s and at " + execution.operator() + "'s");
            }
            checkOwner(rpc, execution);
        }
    }

    private void checkOwner(RpcOutcome rpc, Execution execution) {
        int shard = shards.shardOf(rpc.customer());
        boolean isOwned = shards.tenuresOf(shard).stream()
                .anyMatch(tenure -> tenure.operator().equals(execution.operator())
                        && tenure.fromUs() <= execution.atUs() + LOG_DELAY_US
                        && tenure.untilUs() >= rpc.sentUs() - LOG_DELAY_US);
        if (!isOwned) {
            report.violation(
                    "owner",
                    execution.atUs(),
                    "RPC " + rpc.id() + " of shard " + shard + " ran at " + execution.operator()
                            + "'s, none of whose doors acted on it");
        }
    }
}
