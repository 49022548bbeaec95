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

/** Which door acted on which shard from when until when, and all shard assignments, by the doors' own logs. */
final class ShardHistory {
    private static final long HAND_OVER_US = 15_000_000;

    /** One door acted on a shard for its operator; the end is not included. */
    record Tenure(String operator, String door, long fromUs, long untilUs) {
        boolean covers(long atUs) {
            return fromUs <= atUs && atUs < untilUs;
        }
    }

    /** A time in which a shard had an owner throughout. */
    record Interval(long fromUs, long untilUs) {}

    private final int shards;
    private final Map<Integer, List<Tenure>> tenures = new TreeMap<>(); // by shard
    private final List<ShardAssignment> assignments = new ArrayList<>();
    private final Map<Integer, List<Long>> movedUs = new HashMap<>(); // by shard

    private ShardHistory(int shards) {
        this.shards = shards;
    }

    /** Empty for a trial without shards. */
    static ShardHistory of(TrialLogs logs) {
        ShardHistory history = new ShardHistory(logs.setup().shards());
        if (history.shards > 0) {
            logs.doors().forEach((door, log) -> history.readTenures(door, log, logs.processes()));
            history.readAssignments(logs);
        }
        return history;
    }

    private void readTenures(String door, List<LogEntry> log, ProcessHistory processes) {
        List<LogEntry> acts = log.stream()
                .filter(entry -> entry.is("acts") || entry.is("starts"))
                .toList();
        for (int i = 0; i < acts.size(); i++) {
            LogEntry act = acts.get(i);
            long replacedUs = i + 1 < acts.size() ? acts.get(i + 1).atUs() : Long.MAX_VALUE;
            long processEndUs = processes
                    .runAt(door, act.atUs())
                    .map(ProcessHistory.Run::untilUs)
                    .orElse(act.atUs());
            long untilUs = Math.min(Math.min(act.number("until_us"), replacedUs), processEndUs);
            String shardFlags = act.text("on"); // one letter a shard
            for (int shard = 0; shard < shardFlags.length() && untilUs > act.atUs(); shard++) {
                if (shardFlags.charAt(shard) == 'x') {
                    tenures.computeIfAbsent(shard, key -> new ArrayList<>())
                            .add(new Tenure(act.text("operator"), door, act.atUs(), untilUs));
                }
            }
        }
    }

    private void readAssignments(TrialLogs logs) {
        Map<Version, LogEntry> first = new LinkedHashMap<>();
        logs.doors()
                .values()
                .forEach(log -> log.stream()
                        .filter(entry -> entry.is("division"))
                        .forEach(entry -> first.merge(entry.version(), entry, LogEntry::earlier)));
        first.values().stream()
                .map(ShardAssignment::of)
                .sorted(Comparator.comparing(ShardAssignment::version))
                .forEach(assignments::add);
        for (int i = 1; i < assignments.size(); i++) {
            ShardAssignment assignment = assignments.get(i);
            for (int shard : assignment.movedSince(assignments.get(i - 1), shards)) {
                movedUs.computeIfAbsent(shard, key -> new ArrayList<>()).add(assignment.atUs());
            }
        }
    }

    /**
     * As docs/fleet.md has it: MurmurHash3, x86, 32 bits, seed 0, of the key's eight bytes. The key is the customer's number
     * and 1.
     */
    int shardOf(int customer) {
        byte[] key = ByteBuffer.allocate(8).putLong(customer + 1L).array();
        return Integer.remainderUnsigned(MurmurHash3.hash32x86(key, 0, 8, 0), shards);
    }

    /** All tenures of a shard, by door. */
    List<Tenure> tenuresOf(int shard) {
        return tenures.getOrDefault(shard, List.of());
    }

    /** All assignments by version, each as it was logged first. */
    List<ShardAssignment> assignments() {
        return assignments;
    }

    /** How many times a shard changed its operator, over all shards. */
    int countAllMoves() {
        return movedUs.values().stream().mapToInt(List::size).sum();
    }

    /** Whether a customer's shard changed its operator after the first moment, and at the second or before. */
    boolean isMovedWithin(int customer, long afterUs, long untilUs) {
        return movedUs.getOrDefault(shardOf(customer), List.of()).stream()
                .anyMatch(movedAtUs -> movedAtUs > afterUs && movedAtUs <= untilUs);
    }

    /** How often a customer's shard moved, or was being handed over, within a window: each may admit a burst more. */
    int countMoves(int customer, long fromUs, long untilUs) {
        if (shards == 0) {
            return 0;
        }
        return (int) movedUs.getOrDefault(shardOf(customer), List.of()).stream()
                .filter(movedAtUs -> movedAtUs >= fromUs - HAND_OVER_US && movedAtUs <= untilUs)
                .count();
    }

    /** When a shard had an owner, merged over the doors of all operators, in the order of time. */
    List<Interval> ownedIntervals(int shard) {
        List<Interval> merged = new ArrayList<>();
        tenuresOf(shard).stream()
                .sorted(Comparator.comparingLong(Tenure::fromUs))
                .forEach(tenure -> {
                    int last = merged.size() - 1;
                    if (last >= 0 && merged.get(last).untilUs >= tenure.fromUs) {
                        Interval before = merged.get(last);
                        merged.set(last, new Interval(before.fromUs, Math.max(before.untilUs, tenure.untilUs)));
                    } else {
                        merged.add(new Interval(tenure.fromUs, tenure.untilUs));
                    }
                });
        return merged;
    }

    /** By operator: how many shards its doors act on at a moment; those with none are left out. */
    Map<String, Integer> ownedShards(long atUs) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int shard = 0; shard < shards; shard++) {
            tenuresOf(shard).stream()
                    .filter(tenure -> tenure.covers(atUs))
                    .map(Tenure::operator)
                    .distinct()
                    .forEach(operator -> counts.merge(operator, 1, Integer::sum));
        }
        return counts;
    }
}
