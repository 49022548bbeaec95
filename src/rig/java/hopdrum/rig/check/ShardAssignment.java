package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.stream.IntStream;

/**
 * One assignment of all shards to operators ("division" in the logs), as the first front door logged it.
 *
 * @param version the era and number that order assignments
 * @param atUs when it was logged
 * @param frontDoor the front door that logged it first
 * @param owners one character per shard: A for the first operator and so on, a dash for none
 * @param operators the operators that the letters stand for, in the order of the letters
 * @param agreement the agreement in force
 * @param asOfMs the wall-clock time for which the assignment was decided, in milliseconds
 */
record ShardAssignment(
        Version version,
        long atUs,
        String frontDoor,
        String owners,
        JsonNode operators,
        JsonNode agreement,
        long asOfMs) {
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

    /** Returns the operator that owns a shard; empty if none does. */
    String ownerOf(int shard) {
        char letter = owners.charAt(shard);
        return letter == '-' ? "" : operators.path(letter - 'A').asText();
    }

    /** Returns the shards below {@code shardCount} whose owner differs from the owner in an earlier assignment. */
    List<Integer> movedSince(ShardAssignment previous, int shardCount) {
        return IntStream.range(0, shardCount)
                .filter(shard -> !ownerOf(shard).equals(previous.ownerOf(shard)))
                .boxed()
                .toList();
    }

    /** Returns the length of the agreement's epochs, in milliseconds; 60,000 if the agreement does not state it. */
    long epochMs() {
        return agreement.path("epoch_ms").asLong(DEFAULT_EPOCH_MS);
    }

    /** Returns how many shards the agreement lets move in one epoch; the default if the agreement does not state it. */
    int movesAllowed(int defaultMoves) {
        return agreement.path("moves").asInt(defaultMoves);
    }
}
