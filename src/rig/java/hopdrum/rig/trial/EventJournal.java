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

/** What the rig itself saw and did, as JSON lines: the event, its time and its fields. Many threads write to one journal. */
final class EventJournal implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** An event under construction; its time is that of {@link #write}. Confined to one thread. */
    final class Event {
        private final String name;
        private final Map<String, Object> fields = new LinkedHashMap<>();

        private Event(String name) {
            this.name = name;
        }

        Event with(String key, Object value) {
            fields.put(key, value);
            return this;
        }

        void write() {
            EventJournal.this.write(name, fields);
        }
    }

    private final PrintStream out;

    EventJournal(Path file) throws IOException {
        out = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.UTF_8);
    }

    /** The machine's monotonic clock, in microseconds; the processes of a trial log the same clock. */
    static long nowUs() {
        return System.nanoTime() / 1000;
    }

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
            throw new IllegalStateException("an event's field cannot be written as JSON: " + name, e);
        }
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
