package hopdrum.rig.check;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Records which front door acted on which shard at which times, and all shard assignments, as read from the logs of the
 * front doors.
 */
final class ShardHistory {
    private static final long HAND_OVER_DURATION_US = 15_000_000;

    /** A period in which one front door acted on a shard for its operator; the end is exclusive. */
    record OwnershipPeriod(String operator, String frontDoor, long fromUs, long untilUs) {
        boolean covers(long atUs) {
            return fromUs <= atUs && atUs < untilUs;
        }
    }

    /** An interval in which a shard had an owner throughout. */
    record Interval(long fromUs, long untilUs) {}

    private final int shardCount;
    private final Map<Integer, List<OwnershipPeriod>> ownershipPeriods = new TreeMap<>(); // by shard
    private final List<ShardAssignment> assignments = new ArrayList<>();
    private final Map<Integer, List<Long>> moveTimesUs = new HashMap<>(); // by shard

    private ShardHistory(int shardCount) {
        this.shardCount = shardCount;
    }

    /** Returns the history of a trial's shards, which is empty for a trial without shards. */
    static ShardHistory of(TrialLogs logs) {
        ShardHistory history = new ShardHistory(logs.setup().shardCount());
        if (history.shardCount > 0) {
            logs.frontDoorLogs()
                    .forEach((frontDoor, log) -> history.readOwnershipPeriods(frontDoor, log, logs.processes()));
            history.readAssignments(logs);
        }
        return history;
    }

    private void readOwnershipPeriods(String frontDoor, List<LogEntry> log, ProcessHistory processes) {
        List<LogEntry> entries = log.stream()
                .filter(entry -> entry.hasEvent("acts") || entry.hasEvent("starts"))
                .toList();
        for (int i = 0; i < entries.size(); i++) {
            LogEntry entry = entries.get(i);
            long supersededUs = i + 1 < entries.size() ? entries.get(i + 1).atUs() : Long.MAX_VALUE;
            long processEndUs = processes
                    .runAt(frontDoor, entry.atUs())
                    .map(ProcessHistory.Run::untilUs)
                    .orElse(entry.atUs());
            long untilUs = Math.min(Math.min(entry.number("until_us"), supersededUs), processEndUs);
            String shardFlags = entry.text("on"); // one character per shard
            for (int shard = 0; shard < shardFlags.length() && untilUs > entry.atUs(); shard++) {
                if (shardFlags.charAt(shard) == 'x') {
                    ownershipPeriods
                            .computeIfAbsent(shard, key -> new ArrayList<>())
                            .add(new OwnershipPeriod(entry.text("operator"), frontDoor, entry.atUs(), untilUs));
                }
            }
        }
    }

    private void readAssignments(TrialLogs logs) {
        Map<Version, LogEntry> firstByVersion = new LinkedHashMap<>();
        logs.frontDoorLogs()
                .values()
                .forEach(log -> log.stream()
                        .filter(entry -> entry.hasEvent("division"))
                        .forEach(entry -> firstByVersion.merge(entry.version(), entry, LogEntry::earlier)));
        firstByVersion.values().stream()
                .map(ShardAssignment::of)
                .sorted(Comparator.comparing(ShardAssignment::version))
                .forEach(assignments::add);
        for (int i = 1; i < assignments.size(); i++) {
            ShardAssignment assignment = assignments.get(i);
            for (int shard : assignment.movedSince(assignments.get(i - 1), shardCount)) {
                moveTimesUs.computeIfAbsent(shard, key -> new ArrayList<>()).add(assignment.atUs());
            }
        }
    }

    /**
     * Returns the shard of a customer as docs/fleet.md defines it: the 32-bit x86 MurmurHash3, with seed 0, of the
     * eight bytes of the key, modulo the number of shards. The key is the customer's number plus 1.
     */
    int shardOf(int customer) {
        byte[] key = ByteBuffer.allocate(8).putLong(customer + 1L).array();
        return Integer.remainderUnsigned(MurmurHash3.hash32x86(key, 0, 8, 0), shardCount);
    }

    /** Returns all ownership periods of a shard, grouped by front door. */
    List<OwnershipPeriod> ownershipPeriodsOf(int shard) {
        return ownershipPeriods.getOrDefault(shard, List.of());
    }

    /** Returns all assignments sorted by version, each as the first front door logged it. */
    List<ShardAssignment> assignments() {
        return assignments;
    }

    /** Returns the number of changes of a shard's operator, summed over all shards. */
    int countAllMoves() {
        return moveTimesUs.values().stream().mapToInt(List::size).sum();
    }

    /**
     * Whether a customer's shard changed its operator later than {@code afterUs} and not later than {@code untilUs}.
     */
    boolean isMovedWithin(int customer, long afterUs, long untilUs) {
        return moveTimesUs.getOrDefault(shardOf(customer), List.of()).stream()
                .anyMatch(moveUs -> moveUs > afterUs && moveUs <= untilUs);
    }

    /**
     * Returns the number of moves of a customer's shard within a window or shortly enough before it that the hand-over
     * may still go on. Each of them may admit one more burst.
     */
    int countMoves(int customer, long fromUs, long untilUs) {
        if (shardCount == 0) {
            return 0;
        }
        return (int) moveTimesUs.getOrDefault(shardOf(customer), List.of()).stream()
                .filter(moveUs -> moveUs >= fromUs - HAND_OVER_DURATION_US && moveUs <= untilUs)
                .count();
    }

    /**
     * Returns the intervals in which a shard had an owner, merged over all operators' front doors and sorted by time.
     */
    List<Interval> ownedIntervals(int shard) {
        List<Interval> merged = new ArrayList<>();
        ownershipPeriodsOf(shard).stream()
                .sorted(Comparator.comparingLong(OwnershipPeriod::fromUs))
                .forEach(period -> {
                    int last = merged.size() - 1;
                    if (last >= 0 && merged.get(last).untilUs >= period.fromUs) {
                        Interval previous = merged.get(last);
                        merged.set(last, new Interval(previous.fromUs, Math.max(previous.untilUs, period.untilUs)));
                    } else {
                        merged.add(new Interval(period.fromUs, period.untilUs));
                    }
                });
        return merged;
    }

    /**
     * Returns the number of shards that each operator's front doors act on at a time; operators with none are left out.
     */
    Map<String, Integer> shardCountsByOperator(long atUs) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int shard = 0; shard < shardCount; shard++) {
            ownershipPeriodsOf(shard).stream()
                    .filter(period -> period.covers(atUs))
                    .map(OwnershipPeriod::operator)
                    .distinct()
                    .forEach(operator -> counts.merge(operator, 1, Integer::sum));
        }
        return counts;
    }
}
