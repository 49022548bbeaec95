package hopdrum.rig.trial;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Map;

/** Writes each operator's terms file, which the operator's front doors watch; docs/shards.md describes the keys. */
final class TermsFiles {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String SECONDS_SUFFIX = "_s";

    private TermsFiles() {}

    /** Returns the path of an operator's terms file in a trial's output folder. */
    static Path path(Path outputFolder, String operator) {
        return outputFolder.resolve("terms-" + operator + ".yaml");
    }

    /**
     * Replaces an operator's terms file. Times are given in seconds from now under {@code from_s} and {@code until_s},
     * and are written as absolute times under {@code from} and {@code until}.
     *
     * @throws IOException if the file cannot be written
     */
    static void write(Path outputFolder, String operator, Map<String, Object> terms) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Object> term : terms.entrySet()) {
            String key = term.getKey();
            if (key.equals("until_s") || key.equals("from_s")) {
                long offsetMs = (long) (1_000 * ((Number) term.getValue()).doubleValue());
                text.append(key, 0, key.length() - SECONDS_SUFFIX.length())
                        .append(": ")
                        .append(Instant.now().plusMillis(offsetMs));
            } else {
                text.append(key).append(": ").append(JSON.writeValueAsString(term.getValue()));
            }
            text.append('\n');
        }
        AtomicFiles.replace(path(outputFolder, operator), text.toString());
    }
}
