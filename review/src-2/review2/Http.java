package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages with a Content-Length; enough for the stand-ins and clients of the cases. */
final class Http {
    /** A message: its start line, its fields by lower-case name, and its body. */
    record Message(String start, Map<String, String> fields, byte[] body) {
        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(start.split(" ", 3)[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private Http() {}

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads the next message; null at the end of the stream between two messages. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (String line = line(in); ; line = line(in)) {
            if (line == null) {
                throw new EOFException("the stream ends in a head");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the stream ends in a body");
        }
        return new Message(start, fields, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) {
                if (line.size() > 0) {
                    throw new EOFException("the stream ends in a line");
                }
                return null;
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }
}
