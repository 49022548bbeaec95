package hopdrum.fleet.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What one member decided, as JSON lines: event, at (milliseconds of the wall clock), mono_us (of the machine's
 * monotonic clock), name, start, and what the event adds. Events that others can cause are logged once a second at most.
 * Thread-safe.
 */
public final class FleetLog implements AutoCloseable {
    private static final long MIN_INTERVAL_US = 1_000_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** What is remembered of a rate-limited event. */
    private static final class RateLimit {
        long lastUs;
        long leftOut;

        RateLimit(long lastUs) {
            this.lastUs = lastUs;
        }
    }

    private final PrintStream out;
    private final String name;
    private final long start;
    private final Map<String, RateLimit> rateLimits = new HashMap<>(); // by event; as many as the code has of them

    /**
     * Opens a log; lines are appended.
     *
     * @param file the file to write; null for standard error
     * @param name the member's name
     * @param start the member's start number
     * @throws IOException where the file cannot be opened
     */
    public FleetLog(Path file, String name, long start) throws IOException {
        this.out = file == null
                ? System.err
                : new PrintStream(
                        Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND),
                        true,
                        StandardCharsets.UTF_8);
        this.name = name;
        this.start = start;
    }

    /**
     * Logs an event.
     *
     * @param event the event's name
     * @param pairs keys, each followed by its value
     */
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
            out.println(MAPPER.writeValueAsString(line));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the event " + event + " has no JSON form", e);
        }
    }

    /**
     * Logs an event that others can cause at any rate: once a second at most; the next line has the number suppressed.
     *
     * @param event the event's name
     * @param reason what happened
     */
    public synchronized void rateLimitedEvent(String event, String reason) {
        long nowUs = System.nanoTime() / 1000;
        RateLimit limit = rateLimits.computeIfAbsent(event, key -> new RateLimit(nowUs - MIN_INTERVAL_US));
        if (nowUs - limit.lastUs < MIN_INTERVAL_US) {
            limit.leftOut++;
            return;
        }
        event(event, "why", reason, "left_out", limit.leftOut);
        limit.lastUs = nowUs;
        limit.leftOut = 0;
    }

    @Override
    public void close() {
        if (out != System.err) {
            out.close();
        }
    }
}
