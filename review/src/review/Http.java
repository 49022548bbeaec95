package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The small part of HTTP/1.1 that the stand-ins need: whole messages with a Content-Length or without a body. */
final class Http {
    /** One message: its start line, its fields with names in lower case, and its body. */
    record Message(String startLine, Map<String, String> fields, byte[] body) {
        String field(String lowerCaseName) {
            return fields.getOrDefault(lowerCaseName, "");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private Http() {}

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads one message; null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the stream ended in a head");
            }
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the stream ended in a body");
        }
        return new Message(startLine, fields, body);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the stream ended in a line");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** A whole answer; {@code extraFields} are lines that each end with CR LF. */
    static byte[] answer(int status, String extraFields, String body) {
        return bytes("HTTP/1.1 " + status + " Status\r\n" + extraFields + "Content-Length: " + body.length()
                + "\r\n\r\n" + body);
    }
}
