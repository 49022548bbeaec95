package hopdrum.frontdoor.lifecycle;

import java.util.HashMap;
import java.util.Map;

/** A logger that says each kind of line once a second at most, and with the next one how many were left out. */
public final class Log {
    private static final long APART_NANOS = 1_000_000_000L;
    private final System.Logger logger;
    private final Map<String, long[]> kinds = new HashMap<>(); // as many as there are kinds of lines in the program

    public Log(String part) {
        logger = System.getLogger("hopdrum." + part);
    }

    public void info(String kind, Object more) {
        say(System.Logger.Level.INFO, kind, more, null);
    }

    public void warning(String kind, Object more) {
        say(System.Logger.Level.WARNING, kind, more, null);
    }

    /** A fault of this program; its stack is logged. */
    public void fault(String kind, Throwable e) {
        say(System.Logger.Level.ERROR, kind, e, e);
    }

    private void say(System.Logger.Level level, String kind, Object more, Throwable stack) {
        long[] last = kinds.computeIfAbsent(kind, k -> new long[] {System.nanoTime() - APART_NANOS, 0});
        long now = System.nanoTime();
        if (now - last[0] < APART_NANOS) {
            last[1]++;
            return;
        }
        String line = kind + (more == null ? "" : ": " + more) + (last[1] > 0 ? " (and " + last[1] + " more)" : "");
        last[0] = now;
        last[1] = 0;
        if (stack == null) {
            logger.log(level, line);
        } else {
            logger.log(level, line, stack);
        }
    }
}
