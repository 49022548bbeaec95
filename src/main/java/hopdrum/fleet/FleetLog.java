package hopdrum.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What one member decided, as JSON lines: event, at (milliseconds of the wall clock), mono_us (of the machine's
 * monotonic clock), name, start, and what the event adds. Lines that others can cause come once a second at most.
 */
public final class FleetLog implements AutoCloseable {
    private static final long APART_US = 1_000_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final PrintStream to;
    private final String name;
    private final long start;
    private final Map<String, long[]> limited = new HashMap<>(); // as many as there are kinds of such lines

    public FleetLog(Path file, String name, long start) throws IOException {
        this.to = file == null
                ? System.err
                : new PrintStream(
                        Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND),
                        true,
                        java.nio.charset.StandardCharsets.UTF_8);
        this.name = name;
        this.start = start;
    }

    /** Pairs of key and value follow the event. */
    public synchronized void event(String event, Object... pairs) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("event", event);
        line.put("at", System.currentTimeMillis());
        line.put("mono_us", System.nanoTime() / 1000);
        line.put("name", name);
        line.put("start", start);
        for (int i = 0; i < pairs.length; i += 2) {
            line.put((String) pairs[i], pairs[i + 1]);
        }
        try {
            to.println(MAPPER.writeValueAsString(line));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an event has no form", e);
        }
    }

    /** For what others can cause at any rate; the next line says how many were left out. */
    public synchronized void limited(String event, String why) {
        long now = System.nanoTime() / 1000;
        long[] last = limited.computeIfAbsent(event, k -> new long[] {now - APART_US, 0});
        if (now - last[0] < APART_US) {
            last[1]++;
            return;
        }
        event(event, "why", why, "left_out", last[1]);
        last[0] = now;
        last[1] = 0;
    }

    @Override
    public void close() {
        if (to != System.err) {
            to.close();
        }
    }
}
