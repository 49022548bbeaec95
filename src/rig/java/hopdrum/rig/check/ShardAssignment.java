package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.stream.IntStream;

/**
 * One assignment of all shards to operators ("division" in the logs), as it was logged first.
 *
 * @param version its place in the order of assignments
 * @param atUs when it was logged
 * @param door the door that logged it
 * @param owners one letter a shard: A for the first operator, a dash for none
 * @param operators the operators that the letters stand for
 * @param agreement the agreement in force
 * @param asOfMs the moment that the assignment was decided for, wall clock, in milliseconds
 */
record ShardAssignment(
        Version version, long atUs, String door, String owners, JsonNode operators, JsonNode agreement, long asOfMs) {
    private static final int DEFAULT_EPOCH_MS = 60_000;

    static ShardAssignment of(LogEntry entry) {
        return new ShardAssignment(
                entry.version(),
                entry.atUs(),
                entry.text("name"),
                entry.text("owners"),
                entry.field("operators"),
                entry.field("agreement"),
                entry.number("as_of_ms"));
    }

    /** The operator that owns a shard; empty if none does. */
    String ownerOf(int shard) {
        char letter = owners.charAt(shard);
        return letter == '-' ? "" : operators.path(letter - 'A').asText();
    }

    /** The shards, of so many, whose owner is another than in an earlier assignment. */
    List<Integer> movedSince(ShardAssignment before, int shards) {
        return IntStream.range(0, shards)
                .filter(shard -> !ownerOf(shard).equals(before.ownerOf(shard)))
                .boxed()
                .toList();
    }

    /** The length of the agreement's epochs. */
    long epochMs() {
        return agreement.path("epoch_ms").asLong(DEFAULT_EPOCH_MS);
    }

    /** How many shards the agreement lets move in one epoch; the given number if it does not say. */
    int movesAllowed(int absent) {
        return agreement.path("moves").asInt(absent);
    }
}
