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
 * One line of a log: an event in JSON.
 *
 * @param event the name of the event
 * @param atUs the time of the event by the machine's monotonic clock, in microseconds
 * @param fields all fields of the line
 */
record LogEntry(String event, long atUs, JsonNode fields) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Reads all entries of a log, in the order of the file; lines without an event are left out. */
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
                    // A killed process may leave its last line incomplete. This is not a fault.
                }
            }
        }
        return entries;
    }

    boolean hasEvent(String name) {
        return event.equals(name);
    }

    /** Whether the entry was logged between two times, both inclusive. */
    boolean isWithin(long fromUs, long untilUs) {
        return atUs >= fromUs && atUs <= untilUs;
    }

    /** Returns a field as text; empty if it is absent. */
    String text(String key) {
        return fields.path(key).asText();
    }

    /** Returns a field as a number; 0 if it is absent. */
    long number(String key) {
        return fields.path(key).asLong();
    }

    JsonNode field(String key) {
        return fields.path(key);
    }

    /** Returns the version that the entry of a view or of a shard assignment states. */
    Version version() {
        return new Version(number("era"), number("number"));
    }

    /** Returns the sorted names of the members that the entry of a view lists. */
    Set<String> members() {
        Set<String> members = new TreeSet<>();
        field("members").fieldNames().forEachRemaining(members::add);
        return members;
    }

    /** Returns the earlier of two entries, or the first if their times are equal. */
    static LogEntry earlier(LogEntry first, LogEntry second) {
        return first.atUs <= second.atUs ? first : second;
    }
}
