package hopdrum.frontdoor.lifecycle;

import java.text.MessageFormat;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ResourceBundle;

/**
 * Makes {@link System.Logger} write each entry as one line to standard error. It replaces java.util.logging, which
 * takes long to start and stops writing when the JVM shuts down. Registered in META-INF/services.
 */
public final class StderrLoggerFinder extends System.LoggerFinder {
    private static final int MAX_STACK_FRAMES = 12;
    private static final int TYPICAL_LINE_LENGTH = 120;

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new StderrLogger(name);
    }

    private record StderrLogger(String name) implements System.Logger {
        @Override
        public String getName() {
            return name;
        }

        @Override
        public boolean isLoggable(Level level) {
            return level.getSeverity() >= Level.INFO.getSeverity();
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String message, Throwable thrown) {
            if (!isLoggable(level)) {
                return;
            }
            StringBuilder line = new StringBuilder(TYPICAL_LINE_LENGTH)
                    .append(Instant.now().truncatedTo(ChronoUnit.MILLIS))
                    .append(' ')
                    .append(level)
                    .append(' ')
                    .append(name)
                    .append(' ')
                    .append(message);
            if (thrown != null) {
                StackTraceElement[] stack = thrown.getStackTrace();
                for (int i = 0; i < Math.min(MAX_STACK_FRAMES, stack.length); i++) {
                    line.append(" < ").append(stack[i]);
                }
            }
            System.err.println(line);
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String format, Object... values) {
            String message = values == null || values.length == 0 ? format : MessageFormat.format(format, values);
            log(level, bundle, message, (Throwable) null);
        }
    }
}
