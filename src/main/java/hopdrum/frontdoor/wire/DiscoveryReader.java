package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.HttpReader.ascii;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/** Discovery's answer, a watch or a whole list: bytes to lines of JSON. */
public final class DiscoveryReader {
    private static final int MOST_LINE = 8 << 20;
    private final HttpReader head = new HttpReader(HttpReader.Kind.RESPONSE);
    private final Consumer<String> lines;
    private Chunks chunks;
    private boolean inBody;
    private long left;              // of a body with a length; below 0: until the connection ends
    private byte[] line = new byte[1024];
    private int length;
    private boolean ended;

    /** A line is handed on without its break; an empty one says that nothing has changed. */
    public DiscoveryReader(Consumer<String> lines) {
        this.lines = lines;
    }

    public static void ask(boolean watch, long after, String host, Ring to) {
        to.reserve(256);
        to.put(ascii("GET /registry/instances" + (watch ? "?watch=1" + (after >= 0 ? "&after=" + after : "") : "")
                + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n"));
    }

    /** Takes all bytes off the ring; true once the answer is whole. */
    public boolean read(Ring ring) throws BadMessage {
        if (!inBody) {
            if (!head.headOnly(ring)) {
                return false;
            }
            if (head.status() != 200) {
                throw new BadMessage(400, "discovery answers " + head.status());
            }
            inBody = true;
            chunks = head.isChunked() ? new Chunks() : null;
            left = head.lengthOrNone();
            ring.skip(head.bodyFrom());
        }
        while (!ring.isEmpty() && !ended) {
            byte b = ring.at(0);
            ring.skip(1);
            if (chunks == null || chunks.data(b)) {
                data(b);
                left--;
            }
            ended = chunks == null ? left == 0 : chunks.ended();
        }
        if (ended && length > 0) {
            lineEnds();
        }
        return ended;
    }

    private void data(byte b) throws BadMessage {
        if (b == '\n') {
            lineEnds();
            return;
        }
        if (length == MOST_LINE) {
            throw new BadMessage(413, "a line from discovery is too long");
        }
        if (length == line.length) {
            line = Arrays.copyOf(line, 2 * length);
        }
        line[length++] = b;
    }

    private void lineEnds() {
        String text = new String(line, 0, length, StandardCharsets.UTF_8).strip();
        length = 0;
        lines.accept(text);
    }
}
