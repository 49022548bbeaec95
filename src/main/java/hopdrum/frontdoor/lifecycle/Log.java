package hopdrum.frontdoor.lifecycle;

import java.util.HashMap;
import java.util.Map;

/**
 * A rate-limited logger: writes each message at most once a second, and reports with the next one how many were
 * suppressed. Not thread-safe; to be used on the event loop's thread.
 */
public final class Log {
    private static final long INTERVAL_NANOS = 1_000_000_000L;

    /** When a message was last written, and how many times it was suppressed since. */
    private static final class MessageState {
        private long lastWrittenNanos = System.nanoTime() - INTERVAL_NANOS;
        private long suppressed;
    }

    private final System.Logger logger;
    // Bounded, since the messages come from a fixed set; variable text goes into the detail.
    private final Map<String, MessageState> states = new HashMap<>();

    /** Creates the log of a component, which logs as {@code hopdrum.} and the component's name. */
    public Log(String component) {
        logger = System.getLogger("hopdrum." + component);
    }

    /**
     * Logs an event of normal operation.
     *
     * @param message the message, from a fixed set; the rate is limited for each message
     * @param detail appended to the message after a colon; null for nothing
     */
    public void info(String message, Object detail) {
        log(System.Logger.Level.INFO, message, detail, null);
    }

    /**
     * Logs a failure of another program or of the machine.
     *
     * @param message the message, from a fixed set; the rate is limited for each message
     * @param detail appended to the message after a colon; null for nothing
     */
    public void warning(String message, Object detail) {
        log(System.Logger.Level.WARNING, message, detail, null);
    }

    /** Logs a defect of this program, with the stack trace. */
    public void error(String message, Throwable thrown) {
        log(System.Logger.Level.ERROR, message, thrown, thrown);
    }

    private void log(System.Logger.Level level, String message, Object detail, Throwable thrown) {
        MessageState state = states.computeIfAbsent(message, m -> new MessageState());
        long now = System.nanoTime();
        if (now - state.lastWrittenNanos < INTERVAL_NANOS) {
            state.suppressed++;
            return;
        }
        String line = message
                + (detail == null ? "" : ": " + detail)
                + (state.suppressed > 0 ? " (and " + state.suppressed + " more)" : "");
        state.lastWrittenNanos = now;
        state.suppressed = 0;
        if (thrown == null) {
            logger.log(level, line);
        } else {
            logger.log(level, line, thrown);
        }
    }
}
