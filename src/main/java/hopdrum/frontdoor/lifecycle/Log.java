package hopdrum.frontdoor.lifecycle;

import java.util.HashMap;
import java.util.Map;

/**
 * A logger that writes each kind of line once a second at most, and with the next one how many were left out. Not
 * thread-safe: each belongs to the event loop's thread.
 */
public final class Log {
    private static final long INTERVAL_NANOS = 1_000_000_000L;

    /** When a kind of line was last written, and how many were left out since. */
    private static final class Kind {
        private long writtenNanos = System.nanoTime() - INTERVAL_NANOS;
        private long suppressed;
    }

    private final System.Logger logger;
    private final Map<String, Kind> kinds = new HashMap<>(); // as many as there are kinds of lines in the program

    /** A log of one part of the front door, whose name its lines bear. */
    public Log(String part) {
        logger = System.getLogger("hopdrum." + part);
    }

    /**
     * Writes an ordinary event.
     *
     * @param kind the kind of line, which begins it
     * @param detail what follows after a colon; null for nothing
     */
    public void info(String kind, Object detail) {
        log(System.Logger.Level.INFO, kind, detail, null);
    }

    /**
     * Writes a fault of another program or of the machine.
     *
     * @param kind the kind of line, which begins it
     * @param detail what follows after a colon; null for nothing
     */
    public void warning(String kind, Object detail) {
        log(System.Logger.Level.WARNING, kind, detail, null);
    }

    /** Writes a fault of this program, with its stack. */
    public void error(String kind, Throwable thrown) {
        log(System.Logger.Level.ERROR, kind, thrown, thrown);
    }

    private void log(System.Logger.Level level, String text, Object detail, Throwable thrown) {
        Kind kind = kinds.computeIfAbsent(text, t -> new Kind());
        long now = System.nanoTime();
        if (now - kind.writtenNanos < INTERVAL_NANOS) {
            kind.suppressed++;
            return;
        }
        String line = text
                + (detail == null ? "" : ": " + detail)
                + (kind.suppressed > 0 ? " (and " + kind.suppressed + " more)" : "");
        kind.writtenNanos = now;
        kind.suppressed = 0;
        if (thrown == null) {
            logger.log(level, line);
        } else {
            logger.log(level, line, thrown);
        }
    }
}
