package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.HttpReader.ascii;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/** Discovery's answer, a watch or a whole list: bytes to messages, a line of JSON each or one indented over lines. */
public final class EndpointListReader {
    private static final int MOST_LINE = 8 << 20;
    private final HttpReader head = new HttpReader(HttpReader.Kind.RESPONSE);
    private final Consumer<String> lines;
    private ChunkedDecoder chunks;
    private boolean inBody;
    private long left; // of a body with a length; below 0: until the connection ends
    private byte[] line = new byte[1024];
    private int length;
    private int lineFrom; // where in it the present line began: an indented message has many
    private int depth; // of braces and brackets that are open at this point
    private boolean inText;
    private boolean escaped;
    private boolean ended;

    /** A message is handed on whole; an empty line says that nothing has changed. */
    public EndpointListReader(Consumer<String> lines) {
        this.lines = lines;
    }

    public static void ask(boolean watch, long after, String host, RingBuffer to) {
        to.reserve(256);
        to.put(ascii("GET /registry/instances" + (watch ? "?watch=1" + (after >= 0 ? "&after=" + after : "") : "")
                + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n"));
    }

    /** Takes all bytes off the ring; true once the answer is whole. */
    public boolean read(RingBuffer ring) throws MalformedMessageException {
        if (!inBody) {
            if (!head.headOnly(ring)) {
                return false;
            }
            if (head.status() != 200) {
                throw new MalformedMessageException(400, "discovery answers " + head.status());
            }
            inBody = true;
            chunks = head.isChunked() ? new ChunkedDecoder() : null;
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
            messageEnds(length);
        }
        return ended;
    }

    private void data(byte b) throws MalformedMessageException {
        if (b == '\n') {
            lineEnds();
            return;
        }
        put(b);
        if (escaped) {
            escaped = false;
        } else if (inText && b == '\\') {
            escaped = true;
        } else if (b == '"') {
            inText = !inText;
        } else if (!inText && (b == '{' || b == '[')) {
            depth++;
        } else if (!inText && (b == '}' || b == ']')) {
            depth--;
        }
    }

    private void put(byte b) throws MalformedMessageException {
        if (length == MOST_LINE) {
            throw new MalformedMessageException(413, "a line from discovery is too long");
        }
        if (length == line.length) {
            line = Arrays.copyOf(line, 2 * length);
        }
        line[length++] = b;
    }

    /**
     * A message whose braces are still open goes on with the next line. Guards against one that was cut short taking
     * along those that follow: an empty line, or one that begins a message of its own, ends it as it stands.
     */
    private void lineEnds() throws MalformedMessageException {
        String present = new String(line, lineFrom, length - lineFrom, StandardCharsets.UTF_8).strip();
        if (lineFrom > 0 && (present.isEmpty() || (present.startsWith("{") && present.contains("\"seq\"")))) {
            messageEnds(lineFrom);
            for (byte b : (present + "\n").getBytes(StandardCharsets.UTF_8)) {
                data(b);
            }
        } else if (depth <= 0 || present.isEmpty()) {
            messageEnds(length);
        } else {
            put((byte) ' ');
            lineFrom = length;
        }
    }

    /** Ends a message of several lines that nothing has been added to for too long: what there is of it is handed on. */
    public void endsOpenMessage() {
        if (lineFrom > 0) {
            messageEnds(length);
        }
    }

    private void messageEnds(int at) {
        String text = new String(line, 0, at, StandardCharsets.UTF_8).strip();
        length = 0;
        lineFrom = 0;
        depth = 0;
        inText = false;
        escaped = false;
        lines.accept(text);
    }
}
