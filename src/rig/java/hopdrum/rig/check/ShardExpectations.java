package hopdrum.rig.check;

import hopdrum.rig.check.ShardHistory.Interval;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Checks the rules "shares", "owned" and "refusal": what a trial expects of shards and their owners. */
final class ShardExpectations {
    private static final long CHECK_INTERVAL_US = 20_000;
    private static final double DEFAULT_MAX_GAP_S = 0.5;

    private final TrialLogs logs;
    private final ShardHistory shards;
    private final TrialReport report;

    ShardExpectations(TrialLogs logs, ShardHistory shards, TrialReport report) {
        this.logs = logs;
        this.shards = shards;
        this.report = report;
    }

    /**
     * Rule "shares": before the deadline, each operator acts on exactly the expected number of shards. Measures how
     * long this took.
     */
    void checkShares(Expectation expectation) {
        Map<String, Integer> expectedCounts = new TreeMap<>();
        expectation.arguments().path("of").properties().forEach(share -> {
            if (share.getValue().asInt() > 0) {
                expectedCounts.put(share.getKey(), share.getValue().asInt());
            }
        });
        for (long timeUs = expectation.atUs(); timeUs <= expectation.deadlineUs(); timeUs += CHECK_INTERVAL_US) {
            if (shards.shardCountsByOperator(timeUs).equals(expectedCounts)) {
                report.addMeasurement(String.format(
                        Locale.ROOT,
                        "the operators act on the expected shards %s after %.2f s",
                        expectedCounts,
                        (timeUs - expectation.atUs()) / 1e6));
                return;
            }
        }
        report.addViolation(
                "shares",
                expectation.deadlineUs(),
                "the operators act on the shards " + shards.shardCountsByOperator(expectation.deadlineUs())
                        + ", expected: " + expectedCounts);
    }

    /**
     * Rule "owned": from the deadline to the end of the period, no shard lacks an owner for longer than the stated gap.
     */
    void checkOwned(Expectation expectation) {
        long maxGapUs = expectation.durationUs("most_s", DEFAULT_MAX_GAP_S);
        long untilUs = expectation.periodEndUs();
        for (int shard = 0; shard < logs.setup().shardCount(); shard++) {
            long ownedUntilUs = expectation.deadlineUs();
            List<Interval> owned = new ArrayList<>(shards.ownedIntervals(shard));
            owned.add(new Interval(untilUs, untilUs));
            for (Interval interval : owned) {
                long gapUs = Math.min(interval.fromUs(), untilUs) - ownedUntilUs;
                if (interval.untilUs() >= ownedUntilUs && gapUs > maxGapUs) {
                    report.addViolation(
                            "owned",
                            ownedUntilUs,
                            String.format(Locale.ROOT, "shard %d has no owner for %.2f s", shard, gapUs / 1e6));
                    return;
                }
                ownedUntilUs = Math.max(ownedUntilUs, interval.untilUs());
            }
        }
    }

    /**
     * Rule "refusal": before the deadline, some front door refuses an offer with a reason that contains the expected
     * text.
     */
    void checkRefusal(Expectation expectation) {
        String expectedText = expectation.arguments().path("says").asText();
        boolean isRefused = logs.frontDoorLogs().values().stream()
                .flatMap(List::stream)
                .anyMatch(entry -> entry.hasEvent("refuses")
                        && entry.isWithin(expectation.atUs(), expectation.deadlineUs())
                        && entry.text("why").contains(expectedText));
        if (!isRefused) {
            report.addViolation(
                    "refusal", expectation.deadlineUs(), "no front door refused an offer with: " + expectedText);
        }
    }
}
