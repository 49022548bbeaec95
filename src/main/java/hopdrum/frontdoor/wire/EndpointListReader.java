package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits the response of service discovery, a watch or one complete list, into JSON messages. A message takes one line,
 * or several if it is indented.
 */
public final class EndpointListReader {
    private static final int INITIAL_BYTES = 1024;
    private static final int MAX_RETAINED_BYTES = 64 << 10; // of the memory for messages, between two of them
    private static final int MAX_REQUEST_BYTES = 256;

    private final int maxMessageBytes;
    private final HttpReader httpReader = new HttpReader(HttpReader.Kind.RESPONSE);
    private final Consumer<String> listener;
    private ChunkedDecoder chunkedDecoder; // null if the body is not chunked
    private boolean inBody;
    private long remainingBodyBytes; // below 0 if the body has no stated length
    private byte[] message = new byte[INITIAL_BYTES];
    private int messageBytes; // of the current message that have been read
    private int lineFrom; // where the current line begins in the current message
    private int openBrackets; // braces and brackets of the current message that are not closed yet
    private boolean inString;
    private boolean escaped;
    private boolean ended;

    /**
     * Creates a reader for one response.
     *
     * @param maxMessageBytes the length of the longest message that is accepted, in bytes
     * @param listener receives each message once it is complete; an empty message means that nothing has changed
     */
    public EndpointListReader(int maxMessageBytes, Consumer<String> listener) {
        this.maxMessageBytes = maxMessageBytes;
        this.listener = listener;
    }

    /**
     * Writes the request for a watch or a complete list.
     *
     * @param watch true to watch for changes, false to fetch one complete list
     * @param afterVersion the list version after which a watch resumes; below 0 if no version is known
     * @param host the value of the Host field
     * @param out an empty buffer
     */
    public static void writeRequest(boolean watch, long afterVersion, String host, RingBuffer out) {
        out.reserve(MAX_REQUEST_BYTES);
        out.put(ascii("GET /registry/instances"
                + (watch ? "?watch=1" + (afterVersion >= 0 ? "&after=" + afterVersion : "") : "")
                + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n"));
    }

    /**
     * Reads and removes all bytes in the buffer.
     *
     * @return true once the response is complete
     * @throws MalformedMessageException if the response is malformed or has a status other than 200, or if a message is
     *     too long
     */
    public boolean read(RingBuffer ring) throws MalformedMessageException {
        if (!inBody) {
            if (!httpReader.readHead(ring)) {
                return false;
            }
            if (httpReader.status() != 200) {
                throw new MalformedMessageException(400, "discovery responded with status " + httpReader.status());
            }
            inBody = true;
            chunkedDecoder = httpReader.isChunked() ? new ChunkedDecoder() : null;
            remainingBodyBytes = httpReader.contentLength();
            ring.skip(httpReader.bodyFrom());
        }
        while (!ring.isEmpty() && !ended) {
            byte next = ring.at(0);
            ring.skip(1);
            if (chunkedDecoder == null || chunkedDecoder.accept(next)) {
                acceptBodyByte(next);
                remainingBodyBytes--;
            }
            ended = chunkedDecoder == null ? remainingBodyBytes == 0 : chunkedDecoder.isEnded();
        }
        if (ended && messageBytes > 0) {
            emitMessage(messageBytes);
        }
        return ended;
    }

    private void acceptBodyByte(byte next) throws MalformedMessageException {
        if (next == '\n') {
            endLine();
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
        if (messageBytes == maxMessageBytes) {
            throw new MalformedMessageException(
                    413, "a message from discovery is longer than " + maxMessageBytes + " bytes");
        }
        if (messageBytes == message.length) {
            message = Arrays.copyOf(message, Math.min(maxMessageBytes, 2 * messageBytes));
        }
        message[messageBytes++] = next;
    }

    /**
     * Ends the current line. A message with open brackets continues on the next line. An empty line, or a line that
     * begins another message, ends the message before it, so that a truncated message does not absorb the messages that
     * follow it.
     */
    private void endLine() throws MalformedMessageException {
        String line = new String(message, lineFrom, messageBytes - lineFrom, StandardCharsets.UTF_8).strip();
        if (lineFrom > 0 && (line.isEmpty() || (line.startsWith("{") && line.contains("\"seq\"")))) {
            emitMessage(lineFrom);
            for (byte b : (line + "\n").getBytes(StandardCharsets.UTF_8)) {
                acceptBodyByte(b);
            }
        } else if (openBrackets <= 0 || line.isEmpty()) {
            emitMessage(messageBytes);
        } else {
            append((byte) ' ');
            lineFrom = messageBytes;
        }
    }

    /** Passes an incomplete message of several lines to the listener, for use when its next line does not arrive. */
    public void flushIncompleteMessage() {
        if (lineFrom > 0) {
            emitMessage(messageBytes);
        }
    }

    private void emitMessage(int to) {
        String text = new String(message, 0, to, StandardCharsets.UTF_8).strip();
        messageBytes = 0;
        if (message.length > MAX_RETAINED_BYTES) {
            message = new byte[INITIAL_BYTES];
        }
        lineFrom = 0;
        openBrackets = 0;
        inString = false;
        escaped = false;
        listener.accept(text);
    }
}
