package hopdrum.frontdoor.lifecycle;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ResourceBundle;

/** Lets System.Logger write one line an entry to standard error, without java.util.logging's start and its end. */
public final class StderrLoggers extends System.LoggerFinder {
    @Override
    public System.Logger getLogger(String name, Module module) {
        return new Lines(name);
    }

    private record Lines(String name) implements System.Logger {
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
            if (isLoggable(level)) {
                StringBuilder line = new StringBuilder(120)
                        .append(Instant.now().truncatedTo(ChronoUnit.MILLIS))
                        .append(' ')
                        .append(level)
                        .append(' ')
                        .append(name)
                        .append(' ')
                        .append(message);
                for (int i = 0; thrown != null && i < Math.min(12, thrown.getStackTrace().length); i++) {
                    line.append(" < ").append(thrown.getStackTrace()[i]);
                }
                System.err.println(line);
            }
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String format, Object... values) {
            log(
                    level,
                    bundle,
                    values == null || values.length == 0 ? format : java.text.MessageFormat.format(format, values),
                    (Throwable) null);
        }
    }
}
