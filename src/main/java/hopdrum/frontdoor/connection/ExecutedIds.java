package hopdrum.frontdoor.connection;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The trace ids of requests that a backend may have executed and must not execute again. Such an id is not accepted again
 * for a while, whether its client has the response or has left.
 */
final class ExecutedIds {
    private static final long RETENTION_US = 30_000_000;
    private static final int MAX_IDS = 8192;

    private final Map<String, Long> addedAtUs = new LinkedHashMap<>(); // oldest first

    /** Remembers an id. */
    void add(String traceId, long nowUs) {
        addedAtUs.remove(traceId);
        addedAtUs.put(traceId, nowUs);
        Iterator<Long> oldestFirst = addedAtUs.values().iterator();
        while (oldestFirst.hasNext() && (oldestFirst.next() < nowUs - RETENTION_US || addedAtUs.size() > MAX_IDS)) {
            oldestFirst.remove();
        }
    }

    /** Whether the id is remembered. */
    boolean contains(String traceId, long nowUs) {
        Long atUs = addedAtUs.get(traceId);
        return atUs != null && atUs >= nowUs - RETENTION_US;
    }
}
