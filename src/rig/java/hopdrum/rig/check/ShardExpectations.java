package hopdrum.rig.check;

import hopdrum.rig.check.ShardHistory.Interval;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Rules "shares", "owned" and "refusal": what a trial expects of shards. */
final class ShardExpectations {
    private static final long POLL_US = 20_000;
    private static final double DEFAULT_GAP_S = 0.5;

    private final TrialLogs logs;
    private final ShardHistory shards;
    private final TrialReport report;

    ShardExpectations(TrialLogs logs, ShardHistory shards, TrialReport report) {
        this.logs = logs;
        this.shards = shards;
        this.report = report;
    }

    /** "shares": within the limit these operators act on so many shards; measures how long that took. */
    void checkShares(Expectation expectation) {
        Map<String, Integer> wanted = new TreeMap<>();
        expectation.arguments().path("of").properties().forEach(share -> {
            if (share.getValue().asInt() > 0) {
                wanted.put(share.getKey(), share.getValue().asInt());
            }
        });
        for (long momentUs = expectation.atUs(); momentUs <= expectation.withinUs(); momentUs += POLL_US) {
            if (shards.ownedShards(momentUs).equals(wanted)) {
                report.measure(String.format(
                        Locale.ROOT,
                        "shares %s %.2f s after they were asked for",
                        wanted,
                        (momentUs - expectation.atUs()) / 1e6));
                return;
            }
        }
        report.violation(
                "shares",
                expectation.withinUs(),
                "acted on are " + shards.ownedShards(expectation.withinUs()) + ", not " + wanted);
    }

    /** "owned": from the limit on, for so long, no shard is without an owner for longer than is said. */
    void checkOwned(Expectation expectation) {
        long mostUs = expectation.durationUs("most_s", DEFAULT_GAP_S);
        long untilUs = expectation.untilUs();
        for (int shard = 0; shard < logs.setup().shards(); shard++) {
            long ownedUntilUs = expectation.withinUs();
            List<Interval> owned = new ArrayList<>(shards.ownedIntervals(shard));
            owned.add(new Interval(untilUs, untilUs));
            for (Interval interval : owned) {
                long gapUs = Math.min(interval.fromUs(), untilUs) - ownedUntilUs;
                if (interval.untilUs() >= ownedUntilUs && gapUs > mostUs) {
                    report.violation(
                            "owned",
                            ownedUntilUs,
                            String.format(Locale.ROOT, "shard %d has nobody for %.2f s", shard, gapUs / 1e6));
                    return;
                }
                ownedUntilUs = Math.max(ownedUntilUs, interval.untilUs());
            }
        }
    }

    /** "refusal": within the limit some door refuses an offer with these words. */
    void checkRefusal(Expectation expectation) {
        String words = expectation.arguments().path("says").asText();
        boolean isRefused = logs.doors().values().stream()
                .flatMap(List::stream)
                .anyMatch(entry -> entry.is("refuses")
                        && entry.isWithin(expectation.atUs(), expectation.withinUs())
                        && entry.text("why").contains(words));
        if (!isRefused) {
            report.violation("refusal", expectation.withinUs(), "nobody refused with: " + words);
        }
    }
}
