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
 * Logs the decisions of one member as JSON lines. Each line has the keys event, at (wall clock, milliseconds), mono_us
 * (the machine's monotonic clock, microseconds), name and start, followed by the event's own keys. Events that other
 * processes can cause at any rate are logged at most once a second. Thread-safe.
 */
public final class FleetLog implements AutoCloseable {
    private static final long MIN_INTERVAL_US = 1_000_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** When a rate-limited event was last logged, and how often it has been suppressed since. */
    private static final class RateLimit {
        long lastLoggedUs;
        long suppressed;

        RateLimit(long lastLoggedUs) {
            this.lastLoggedUs = lastLoggedUs;
        }
    }

    private final PrintStream out;
    private final String name;
    private final long start;
    private final Map<String, RateLimit> rateLimits = new HashMap<>(); // by event; bounded by the number of event names

    /**
     * Opens a log, to which lines are appended.
     *
     * @param file the file to write; null for standard error
     * @param name the member's name
     * @param start the member's start number
     * @throws IOException if the file cannot be opened
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
     * @param pairs alternating keys and values; each key is a string
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
            throw new IllegalStateException("the event " + event + " cannot be serialized to JSON", e);
        }
    }

    /**
     * Logs an event that other processes can cause at any rate, at most once a second. The next line of the event tells
     * how often it was suppressed.
     *
     * @param event the event's name
     * @param reason what happened
     */
    public synchronized void rateLimitedEvent(String event, String reason) {
        long nowUs = System.nanoTime() / 1000;
        RateLimit limit = rateLimits.computeIfAbsent(event, key -> new RateLimit(nowUs - MIN_INTERVAL_US));
        if (nowUs - limit.lastLoggedUs < MIN_INTERVAL_US) {
            limit.suppressed++;
            return;
        }
        event(event, "why", reason, "left_out", limit.suppressed);
        limit.lastLoggedUs = nowUs;
        limit.suppressed = 0;
    }

    @Override
    public void close() {
        if (out != System.err) {
            out.close();
        }
    }
}
