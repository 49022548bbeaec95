package hopdrum.rig.trial;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** What the rig itself saw and did, as JSON lines: event, mono_us and pairs. Many threads write to one. */
final class Journal implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final PrintStream out;

    Journal(Path file) throws IOException {
        out = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.UTF_8);
    }

    static long nowUs() {
        return System.nanoTime() / 1000;
    }

    synchronized void event(String event, Object... pairs) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("event", event);
        line.put("mono_us", nowUs());
        for (int i = 0; i < pairs.length; i += 2) {
            line.put((String) pairs[i], pairs[i + 1]);
        }
        try {
            out.println(MAPPER.writeValueAsString(line));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
