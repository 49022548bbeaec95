package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Discovery's response, a watch or a whole list: bytes to messages of JSON, each on a line of its own or indented over
 * several lines.
 */
public final class EndpointListReader {
    private static final int MAX_MESSAGE_BYTES = 8 << 20;
    private static final int INITIAL_BYTES = 1024;
    private static final int MAX_REQUEST_BYTES = 256;

    private final HttpReader head = new HttpReader(HttpReader.Kind.RESPONSE);
    private final Consumer<String> listener;
    private ChunkedDecoder chunks; // null for a body without chunks
    private boolean inBody;
    private long remaining; // of a body with a length; below 0 if the connection's end is the body's
    private byte[] message = new byte[INITIAL_BYTES];
    private int length; // of the message so far
    private int lineFrom; // where in it the present line begins
    private int openBrackets; // braces and brackets that are open at this point
    private boolean inString;
    private boolean escaped;
    private boolean ended;

    /**
     * A reader for one response.
     *
     * @param listener gets each message once it is complete; an empty one says that nothing has changed
     */
    public EndpointListReader(Consumer<String> listener) {
        this.listener = listener;
    }

    /**
     * Writes the request to an empty ring.
     *
     * @param watch whether changes are asked for, in place of one complete list
     * @param after the version from which a watch goes on; below 0 if none is known
     * @param host the value of the Host field
     */
    public static void writeRequest(boolean watch, long after, String host, RingBuffer out) {
        out.reserve(MAX_REQUEST_BYTES);
        out.put(ascii("GET /registry/instances" + (watch ? "?watch=1" + (after >= 0 ? "&after=" + after : "") : "")
                + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n"));
    }

    /**
     * Takes all bytes off the ring; true once the response is complete.
     *
     * @throws MalformedMessageException if it is not a list, or a message is too long
     */
    public boolean read(RingBuffer ring) throws MalformedMessageException {
        if (!inBody) {
            if (!head.readHead(ring)) {
                return false;
            }
            if (head.status() != 200) {
                throw new MalformedMessageException(400, "discovery responded with status " + head.status());
            }
            inBody = true;
            chunks = head.isChunked() ? new ChunkedDecoder() : null;
            remaining = head.lengthOrNone();
            ring.skip(head.bodyFrom());
        }
        while (!ring.isEmpty() && !ended) {
            byte next = ring.at(0);
            ring.skip(1);
            if (chunks == null || chunks.accept(next)) {
                accept(next);
                remaining--;
            }
            ended = chunks == null ? remaining == 0 : chunks.isEnded();
        }
        if (ended && length > 0) {
            messageEnds(length);
        }
        return ended;
    }

    private void accept(byte next) throws MalformedMessageException {
        if (next == '\n') {
            lineEnds();
            return;
        }
        append(next);
        if (escaped) {
            escaped = false;
        } else if (inString && next == '\\') {
            escaped = true;
        } else if (next == '"') {
            inString = !inString;
        } else if (!inString && (next == '{' || next == '[')) {
            openBrackets++;
        } else if (!inString && (next == '}' || next == ']')) {
            openBrackets--;
        }
    }

    private void append(byte next) throws MalformedMessageException {
        if (length == MAX_MESSAGE_BYTES) {
            throw new MalformedMessageException(413, "a line from discovery is too long");
        }
        if (length == message.length) {
            message = Arrays.copyOf(message, 2 * length);
        }
        message[length++] = next;
    }

    /**
     * A message whose brackets are still open goes on with the next line. Guards against a truncated one taking along
     * those that follow: an empty line, or one that begins a message of its own, ends it as it stands.
     */
    private void lineEnds() throws MalformedMessageException {
        String line = new String(message, lineFrom, length - lineFrom, StandardCharsets.UTF_8).strip();
        if (lineFrom > 0 && (line.isEmpty() || (line.startsWith("{") && line.contains("\"seq\"")))) {
            messageEnds(lineFrom);
            for (byte b : (line + "\n").getBytes(StandardCharsets.UTF_8)) {
                accept(b);
            }
        } else if (openBrackets <= 0 || line.isEmpty()) {
            messageEnds(length);
        } else {
            append((byte) ' ');
            lineFrom = length;
        }
    }

    /** Ends a message of several lines that nothing has been added to for too long: what there is of it is handed on. */
    public void flushIncompleteMessage() {
        if (lineFrom > 0) {
            messageEnds(length);
        }
    }

    private void messageEnds(int to) {
        String text = new String(message, 0, to, StandardCharsets.UTF_8).strip();
        length = 0;
        lineFrom = 0;
        openBrackets = 0;
        inString = false;
        escaped = false;
        listener.accept(text);
    }
}
