package hopdrum.rig.check;

import hopdrum.rig.check.ShardHistory.Interval;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** No rule: measures how long shards had no owner, what a move costs RPCs, and what forwarding costs them. */
final class ShardMoveCost {
    private static final long AFFECTED_BEFORE_MOVE_US = 500_000;
    private static final long AFFECTED_AFTER_MOVE_US = 2_000_000;

    /** Outcomes of RPCs, counted. */
    private static final class OutcomeCount {
        private int all;
        private int rejected;
        private int late; // or without an answer

        void add(RpcOutcome rpc, long latencyObjectiveUs) {
            all++;
            if (rpc.isRejected()) {
                rejected++;
            } else if (!rpc.isOk() || rpc.tookUs() > latencyObjectiveUs) {
                late++;
            }
        }

        String summary(String which) {
            return String.format(
                    Locale.ROOT,
                    "RPCs of shards that %s: %d, refused %.3f, late or without an answer %.3f",
                    which,
                    all,
                    rejected / Math.max(1.0, all),
                    late / Math.max(1.0, all));
        }
    }

    private final TrialLogs logs;
    private final ShardHistory shards;
    private final TrialReport report;

    ShardMoveCost(TrialLogs logs, ShardHistory shards, TrialReport report) {
        this.logs = logs;
        this.shards = shards;
        this.report = report;
    }

    /** Measures how long shards had no owner between two. */
    void reportGaps() {
        List<Long> gapsUs = new ArrayList<>();
        for (int shard = 0; shard < logs.setup().shards(); shard++) {
            List<Interval> owned = shards.ownedIntervals(shard);
            for (int i = 1; i < owned.size() && owned.get(i).fromUs() < logs.endUs(); i++) {
                gapsUs.add(owned.get(i).fromUs() - owned.get(i - 1).untilUs());
            }
        }
        Collections.sort(gapsUs);
        report.measure(String.format(
                Locale.ROOT,
                "shards moved: %d; times without an owner: %d, median %.2f s, worst %.2f s",
                shards.countAllMoves(),
                gapsUs.size(),
                Percentiles.seconds(gapsUs, 50),
                Percentiles.seconds(gapsUs, 100)));
    }

    /** Measures outcomes beside moves and elsewhere, and latencies with and without forwarding. */
    void reportRpcs() {
        Map<String, String> operators = new HashMap<>(); // by RPC: where it ran last
        logs.executions().forEach(execution -> operators.put(execution.rpc(), execution.operator()));
        OutcomeCount beside = new OutcomeCount();
        OutcomeCount elsewhere = new OutcomeCount();
        List<Long> directUs = new ArrayList<>();
        List<Long> forwardedUs = new ArrayList<>();
        for (RpcOutcome rpc : logs.rpcs()) {
            (isBesideMove(rpc) ? beside : elsewhere).add(rpc, logs.setup().deadlineUs() / 2);
            String operator = operators.get(rpc.id());
            if (rpc.isOk() && operator != null) {
                boolean isDirect = operator.equals(logs.setup().operatorOf(rpc.door()));
                (isDirect ? directUs : forwardedUs).add(rpc.tookUs());
            }
        }
        report.measure(beside.summary("moved within 2 s"));
        report.measure(elsewhere.summary("did not"));
        Collections.sort(directUs);
        Collections.sort(forwardedUs);
        report.measure(String.format(
                Locale.ROOT,
                "answered where they came: %d, p50 %.1f ms; passed on: %d, p50 %.1f ms",
                directUs.size(),
                Percentiles.millis(directUs, 50),
                forwardedUs.size(),
                Percentiles.millis(forwardedUs, 50)));
    }

    private boolean isBesideMove(RpcOutcome rpc) {
        return shards.isMovedWithin(
                rpc.customer(), rpc.sentUs() - AFFECTED_AFTER_MOVE_US, rpc.sentUs() + AFFECTED_BEFORE_MOVE_US);
    }
}
