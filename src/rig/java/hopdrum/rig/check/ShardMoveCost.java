package hopdrum.rig.check;

import hopdrum.rig.check.ShardHistory.Interval;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Measures how long shards had no owner, and how moves of shards and forwarding to another operator affect requests.
 * These are measurements only; no rule limits them.
 */
final class ShardMoveCost {
    private static final long AFFECTED_BEFORE_MOVE_US = 500_000;
    private static final long AFFECTED_AFTER_MOVE_US = 2_000_000;

    /** Counts requests by outcome. */
    private static final class OutcomeCount {
        private int total;
        private int rejected;
        private int lateOrUnanswered;

        void add(RequestOutcome request, long softDeadlineUs) {
            total++;
            if (request.isRejected()) {
                rejected++;
            } else if (!request.isOk() || request.tookUs() > softDeadlineUs) {
                lateOrUnanswered++;
            }
        }

        String summary(String shardDescription) {
            return String.format(
                    Locale.ROOT,
                    "requests of shards that %s: %d, rejected %.3f, late or without an answer %.3f",
                    shardDescription,
                    total,
                    rejected / Math.max(1.0, total),
                    lateOrUnanswered / Math.max(1.0, total));
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

    /** Measures the gaps in which a shard had no owner between two ownership periods, up to the end of the trial. */
    void reportGaps() {
        List<Long> gapsUs = new ArrayList<>();
        for (int shard = 0; shard < logs.setup().shardCount(); shard++) {
            List<Interval> owned = shards.ownedIntervals(shard);
            for (int i = 1; i < owned.size() && owned.get(i).fromUs() < logs.endUs(); i++) {
                gapsUs.add(owned.get(i).fromUs() - owned.get(i - 1).untilUs());
            }
        }
        Collections.sort(gapsUs);
        report.addMeasurement(String.format(
                Locale.ROOT,
                "shard moves: %d; gaps without an owner: %d, median %.2f s, worst %.2f s",
                shards.countAllMoves(),
                gapsUs.size(),
                Percentiles.seconds(gapsUs, 50),
                Percentiles.seconds(gapsUs, 100)));
    }

    /**
     * Measures the outcomes of requests near a move of their shard and of all others, and the latencies with and
     * without forwarding to another operator.
     */
    void reportRequests() {
        Map<String, String> lastOperators = new HashMap<>(); // by request: whose backend executed it last
        logs.executions().forEach(execution -> lastOperators.put(execution.requestId(), execution.operator()));
        OutcomeCount nearMove = new OutcomeCount();
        OutcomeCount awayFromMove = new OutcomeCount();
        List<Long> directUs = new ArrayList<>();
        List<Long> forwardedUs = new ArrayList<>();
        for (RequestOutcome request : logs.requests()) {
            (isNearMove(request) ? nearMove : awayFromMove)
                    .add(request, logs.setup().requestDeadlineUs() / 2);
            String operator = lastOperators.get(request.id());
            if (request.isOk() && operator != null) {
                boolean isDirect = operator.equals(logs.setup().operatorOf(request.frontDoor()));
                (isDirect ? directUs : forwardedUs).add(request.tookUs());
            }
        }
        report.addMeasurement(nearMove.summary("moved within 2 s"));
        report.addMeasurement(awayFromMove.summary("did not"));
        Collections.sort(directUs);
        Collections.sort(forwardedUs);
        report.addMeasurement(String.format(
                Locale.ROOT,
                "executed at the receiving operator: %d, p50 %.1f ms; forwarded to another: %d, p50 %.1f ms",
                directUs.size(),
                Percentiles.millis(directUs, 50),
                forwardedUs.size(),
                Percentiles.millis(forwardedUs, 50)));
    }

    private boolean isNearMove(RequestOutcome request) {
        return shards.isMovedWithin(
                request.customer(),
                request.sentUs() - AFFECTED_AFTER_MOVE_US,
                request.sentUs() + AFFECTED_BEFORE_MOVE_US);
    }
}
