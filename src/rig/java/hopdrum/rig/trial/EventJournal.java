package hopdrum.rig.trial;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Writes what the trial itself does and observes as JSON lines: each has an event, its time and its fields.
 * Thread-safe.
 */
final class EventJournal implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Builder of one event, whose time is that of {@link #write}. Confined to one thread. */
    final class Event {
        private final String name;
        private final Map<String, Object> fields = new LinkedHashMap<>();

        private Event(String name) {
            this.name = name;
        }

        /** Adds a field, which is written as JSON. */
        Event with(String key, Object value) {
            fields.put(key, value);
            return this;
        }

        /** Appends the event to the journal. */
        void write() {
            EventJournal.this.write(name, fields);
        }
    }

    private final PrintStream out;

    /** Creates the journal file, or empties it if it exists. */
    EventJournal(Path file) throws IOException {
        out = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.UTF_8);
    }

    /** Returns the machine's monotonic clock in microseconds; the front doors' logs use the same clock. */
    static long nowUs() {
        return System.nanoTime() / 1000;
    }

    /** Starts an event of this name. */
    Event event(String name) {
        return new Event(name);
    }

    private synchronized void write(String name, Map<String, Object> fields) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("event", name);
        line.put("mono_us", nowUs());
        line.putAll(fields);
        try {
            out.println(JSON.writeValueAsString(line));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a field as JSON, of the event " + name, e);
        }
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
