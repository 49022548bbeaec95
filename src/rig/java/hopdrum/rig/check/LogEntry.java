package hopdrum.rig.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * One line of a log.
 *
 * @param event what happened
 * @param atUs when, by the machine's monotonic clock, in microseconds
 * @param fields the whole line
 */
record LogEntry(String event, long atUs, JsonNode fields) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** All entries of a log, in its order. */
    static List<LogEntry> readAll(Path file) throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        try (Stream<String> lines = Files.lines(file)) {
            for (String line : (Iterable<String>) lines::iterator) {
                try {
                    JsonNode fields = JSON.readTree(line);
                    if (fields.hasNonNull("event")) {
                        entries.add(new LogEntry(
                                fields.path("event").asText(),
                                fields.path("mono_us").asLong(),
                                fields));
                    }
                } catch (JsonProcessingException e) {
                    // A process that was killed leaves its last line incomplete: not a fault.
                }
            }
        }
        return entries;
    }

    boolean is(String wanted) {
        return event.equals(wanted);
    }

    /** Whether it was logged within these limits, both included. */
    boolean isWithin(long fromUs, long untilUs) {
        return atUs >= fromUs && atUs <= untilUs;
    }

    /** A field as text; empty if absent. */
    String text(String key) {
        return fields.path(key).asText();
    }

    /** A field as a number; 0 if absent. */
    long number(String key) {
        return fields.path(key).asLong();
    }

    JsonNode field(String key) {
        return fields.path(key);
    }

    /** Of a view or a shard assignment. */
    Version version() {
        return new Version(number("era"), number("number"));
    }

    /** The names of the members of a view. */
    Set<String> members() {
        Set<String> members = new TreeSet<>();
        field("members").fieldNames().forEachRemaining(members::add);
        return members;
    }

    /** The earlier of two, the first if both are of one moment. */
    static LogEntry earlier(LogEntry first, LogEntry second) {
        return first.atUs <= second.atUs ? first : second;
    }
}
