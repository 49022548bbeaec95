package hopdrum.frontdoor.wire;

import java.util.Arrays;

/**
 * One HTTP/1.1 message at the front of a ring. read() goes on from where it stopped and is true once the message is
 * whole; its parts are then positions in the ring, valid until done() takes the message off.
 */
public final class HttpReader {
    public enum Kind {
        REQUEST,
        RESPONSE
    }

    public static final int MOST_HEAD = 8 << 10;
    public static final int MOST_BODY = 64 << 10;
    public static final int MOST_ANSWER = 1 << 20; // of a backend: some are longer than any RPC
    public static final int MOST_ANSWER_RING = 2 * MOST_ANSWER;
    private static final int MOST_FIELDS = 64;
    private static final byte[] CONTENT_LENGTH = ascii("content-length");
    private static final byte[] TRANSFER_ENCODING = ascii("transfer-encoding");
    private static final byte[] CONNECTION = ascii("connection");
    private static final byte[] EXPECT = ascii("expect");
    private static final byte[] CLOSE = ascii("close");
    private static final byte[] KEEP_ALIVE = ascii("keep-alive");
    private static final byte[] CHUNKED = ascii("chunked");
    private static final byte[] CONTINUE = ascii("100-continue");
    private static final int MOST_INTERIM = 16;
    private static final byte[] HTTP_1 = ascii("HTTP/1.");
    private static final byte[] HTTP_11 = ascii("HTTP/1.1");
    private static final byte[] HTTP_10 = ascii("HTTP/1.0");

    private static final boolean[] TOKEN = new boolean[128];

    static {
        for (char c = '!'; c < 127; c++) {
            TOKEN[c] = "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0;
        }
    }

    private enum State {
        HEAD,
        LENGTH,
        CHUNKS,
        UNTIL_CLOSE,
        WHOLE
    }

    private final Kind kind;
    private State state = State.HEAD;
    private int scanned;
    private int lineFrom;
    private boolean started; // the first line has been read
    private int fields;
    private int[] at = new int[4 * 16]; // of each field: where name and value begin and end
    private ChunkedDecoder chunks;
    private int chunkedTo;
    private long length;
    private boolean keepAlive;
    private boolean expects;
    private int verbTo;
    private int targetTo;
    private int status;
    private int interim; // answers of 1xx before this one
    private int headTo;
    private int bodyTo;
    private int end;

    public HttpReader(Kind kind) {
        this.kind = kind;
    }

    /** Reads on; true once the message is whole. */
    public boolean read(RingBuffer ring) throws MalformedMessageException {
        if (state == State.HEAD && !head(ring)) {
            return false;
        }
        switch (state) {
            case LENGTH -> {
                bounded((int) Math.min(Integer.MAX_VALUE, headTo + length));
                if (ring.size() - headTo >= length) {
                    whole(headTo + (int) length, headTo + (int) length);
                }
            }
            case CHUNKS -> chunks(ring);
            case UNTIL_CLOSE -> bodyTo = bounded(ring.size());
            default -> {}
        }
        return state == State.WHOLE;
    }

    /** Its head is whole and states no end of the body: only the connection's end would be one. */
    public boolean isUntilClose() {
        return state == State.UNTIL_CLOSE;
    }

    /** Its head is all that counts. */
    public void endAtHead() {
        whole(headTo, headTo);
    }

    /** The connection has ended in order: what has come is the body. A reset is no end. */
    public void endAtClose() {
        whole(bodyTo, bodyTo);
    }

    /** Takes the message off the ring and starts anew. */
    public void done(RingBuffer ring) {
        ring.skip(end);
        state = State.HEAD;
        scanned = 0;
        lineFrom = 0;
        started = false;
        fields = 0;
        if (at.length > 4 * 16) {
            at = new int[4 * 16];
        }
        chunks = null;
        end = 0;
    }

    private void whole(int bodyEnd, int messageEnd) {
        bodyTo = bodyEnd;
        end = messageEnd;
        interim = 0;
        state = State.WHOLE;
    }

    private int bounded(int bodyEnd) throws MalformedMessageException {
        int most = kind == Kind.REQUEST ? MOST_BODY : MOST_ANSWER;
        if (bodyEnd - headTo > most) {
            throw new MalformedMessageException(413, "the body is longer than " + most + " bytes");
        }
        return bodyEnd;
    }

    private boolean head(RingBuffer ring) throws MalformedMessageException {
        while (headEnds(ring)) {
            if (kind == Kind.REQUEST || status >= 200) {
                frame(ring);
                return true;
            }
            if (status == 101 || ++interim > MOST_INTERIM) {
                throw new MalformedMessageException(400, "a switch of protocols, or interim answers without end");
            }
            end = headTo;
            done(ring);
        }
        return false;
    }

    private boolean headEnds(RingBuffer ring) throws MalformedMessageException {
        while (scanned == 0 && !ring.isEmpty() && (ring.at(0) == '\r' || ring.at(0) == '\n')) {
            ring.skip(1); // empty lines before a message are allowed
        }
        int size = ring.size();
        while (scanned < size) {
            byte b = ring.at(scanned++);
            if (kind == Kind.RESPONSE && scanned <= HTTP_1.length && b != HTTP_1[scanned - 1]) {
                throw new MalformedMessageException(400, "no answer of HTTP/1"); // noise may never hold a line's end
            }
            if (b == '\n') {
                int to = scanned - 2;
                if (to < lineFrom || ring.at(to) != '\r') {
                    throw new MalformedMessageException(400, "a line does not end with CR LF");
                }
                if (to == lineFrom) {
                    headTo = scanned;
                    return true;
                }
                line(ring, lineFrom, to);
                lineFrom = scanned;
            } else if ((b < ' ' && b != '\t' && b != '\r' && b >= 0) || b == 127) {
                throw new MalformedMessageException(400, "a control character in the head");
            } else if (scanned > 1 && ring.at(scanned - 2) == '\r') {
                throw new MalformedMessageException(400, "a carriage return stands alone");
            }
            if (scanned > MOST_HEAD) {
                throw new MalformedMessageException(431, "the head is longer than " + MOST_HEAD + " bytes");
            }
        }
        return false;
    }

    private void line(RingBuffer ring, int from, int to) throws MalformedMessageException {
        if (!started) {
            started = true;
            if (kind == Kind.REQUEST) {
                requestLine(ring, from, to);
            } else {
                statusLine(ring, from, to);
            }
            return;
        }
        int colon = from;
        while (colon < to && isToken(ring.at(colon))) {
            colon++;
        }
        if (colon == from || colon == to || ring.at(colon) != ':') {
            throw new MalformedMessageException(400, "a field has no name");
        }
        int valueFrom = colon + 1;
        while (valueFrom < to && isBlank(ring.at(valueFrom))) {
            valueFrom++;
        }
        int valueTo = to;
        while (valueTo > valueFrom && isBlank(ring.at(valueTo - 1))) {
            valueTo--;
        }
        if (fields == MOST_FIELDS) {
            throw new MalformedMessageException(431, "more than " + MOST_FIELDS + " fields");
        }
        if (4 * fields == at.length) {
            at = Arrays.copyOf(at, 2 * at.length);
        }
        at[4 * fields] = from;
        at[4 * fields + 1] = colon;
        at[4 * fields + 2] = valueFrom;
        at[4 * fields + 3] = valueTo;
        fields++;
    }

    private void requestLine(RingBuffer ring, int from, int to) throws MalformedMessageException {
        verbTo = from;
        while (verbTo < to && isToken(ring.at(verbTo))) {
            verbTo++;
        }
        targetTo = verbTo + 1;
        while (targetTo < to && ring.at(targetTo) != ' ') {
            targetTo++;
        }
        boolean sound = verbTo > from
                && verbTo < to
                && ring.at(verbTo) == ' '
                && targetTo > verbTo + 1
                && targetTo < to
                && ring.at(verbTo + 1) == '/';
        version(ring, targetTo + 1, to, sound);
    }

    private void statusLine(RingBuffer ring, int from, int to) throws MalformedMessageException {
        boolean sound = to - from >= 12 && ring.at(from + 8) == ' ' && (to - from == 12 || ring.at(from + 12) == ' ');
        status = 0;
        for (int i = from + 9; sound && i < from + 12; i++) {
            int digit = ring.at(i) - '0';
            sound = digit >= 0 && digit <= 9;
            status = status * 10 + digit;
        }
        version(ring, from, from + 8, sound && status >= 100);
    }

    private void version(RingBuffer ring, int from, int to, boolean sound) throws MalformedMessageException {
        if (!sound) {
            throw new MalformedMessageException(400, "the first line is malformed");
        }
        keepAlive = ring.matches(from, to, HTTP_11);
        if (!keepAlive && !ring.matches(from, to, HTTP_10)) {
            throw new MalformedMessageException(400, "neither HTTP/1.1 nor HTTP/1.0");
        }
    }

    private void frame(RingBuffer ring) throws MalformedMessageException {
        boolean lengthGiven = false;
        boolean chunked = false;
        expects = false;
        length = 0;
        for (int i = 0; i < fields; i++) {
            if (isNamed(ring, i, CONTENT_LENGTH)) {
                long value = number(ring, valueFrom(i), valueTo(i));
                if (value < 0 || (lengthGiven && value != length)) {
                    throw new MalformedMessageException(400, "the content length is malformed");
                }
                lengthGiven = true;
                length = value;
            } else if (isNamed(ring, i, TRANSFER_ENCODING)) {
                if (chunked || !ring.matchesIgnoringCase(valueFrom(i), valueTo(i), CHUNKED)) {
                    throw new MalformedMessageException(400, "a transfer encoding other than chunked");
                }
                chunked = true;
            } else if (isNamed(ring, i, CONNECTION)) {
                keepAlive = keepAlive ? !hasWord(ring, i, CLOSE) : hasWord(ring, i, KEEP_ALIVE);
            } else if (isNamed(ring, i, EXPECT)) {
                expects = ring.matchesIgnoringCase(valueFrom(i), valueTo(i), CONTINUE);
            }
        }
        if (chunked && lengthGiven) {
            throw new MalformedMessageException(400, "both a length and chunks");
        }
        if (kind == Kind.REQUEST && length > MOST_BODY) {
            throw new MalformedMessageException(413, "the body is longer than " + MOST_BODY + " bytes");
        }
        if (kind == Kind.RESPONSE && (status == 204 || status == 304)) {
            whole(headTo, headTo);
        } else if (chunked) {
            chunks = new ChunkedDecoder();
            chunkedTo = headTo;
            bodyTo = headTo;
            state = State.CHUNKS;
        } else if (lengthGiven || kind == Kind.REQUEST) {
            state = State.LENGTH;
        } else {
            keepAlive = false;
            bodyTo = headTo;
            state = State.UNTIL_CLOSE;
        }
    }

    private void chunks(RingBuffer ring) throws MalformedMessageException {
        while (chunkedTo < ring.size()) {
            if (chunks.data(ring.at(chunkedTo))) {
                bounded(bodyTo + 1);
                ring.move(chunkedTo, bodyTo++);
            }
            chunkedTo++;
            if (chunks.ended()) {
                whole(bodyTo, chunkedTo);
                return;
            }
        }
    }

    /** Of a response whose body goes on for as long as it likes: true once the head is read. */
    boolean headOnly(RingBuffer ring) throws MalformedMessageException {
        return state != State.HEAD || head(ring);
    }

    /** The body's length, or -1 where the end of the connection ends it. */
    long lengthOrNone() {
        return state == State.LENGTH ? length : -1;
    }

    boolean isChunked() {
        return state == State.CHUNKS;
    }

    /** True while a request's head is read and its sender waits for leave to send the body. */
    public boolean awaitsLeave() {
        boolean awaits = expects && state != State.HEAD && state != State.WHOLE;
        expects = false;
        return awaits;
    }

    public boolean isStarted() {
        return scanned > 0;
    }

    public boolean keepAlive() {
        return keepAlive;
    }

    public int status() {
        return status;
    }

    public int verbTo() {
        return verbTo;
    }

    public int targetTo() {
        return targetTo;
    }

    public int bodyFrom() {
        return headTo;
    }

    public int bodyTo() {
        return bodyTo;
    }

    /** How many bytes of the ring the message takes, framing and all. */
    public int end() {
        return end;
    }

    public int fields() {
        return fields;
    }

    public int nameFrom(int field) {
        return at[4 * field];
    }

    public int valueFrom(int field) {
        return at[4 * field + 2];
    }

    public int valueTo(int field) {
        return at[4 * field + 3];
    }

    /** Where the line of a field ends, its line break included. */
    public int lineTo(int field) {
        return field + 1 < fields ? at[4 * field + 4] : headTo - 2;
    }

    public boolean isNamed(RingBuffer ring, int field, byte[] lowerCase) {
        return ring.matchesIgnoringCase(at[4 * field], at[4 * field + 1], lowerCase);
    }

    /** The first field of that name, or -1. */
    public int field(RingBuffer ring, byte[] lowerCase) {
        for (int i = 0; i < fields; i++) {
            if (isNamed(ring, i, lowerCase)) {
                return i;
            }
        }
        return -1;
    }

    private boolean hasWord(RingBuffer ring, int field, byte[] lowerCase) {
        int from = valueFrom(field);
        int to = valueTo(field);
        while (from < to) {
            int comma = from;
            while (comma < to && ring.at(comma) != ',') {
                comma++;
            }
            int last = comma;
            while (from < last && isBlank(ring.at(from))) {
                from++;
            }
            while (last > from && isBlank(ring.at(last - 1))) {
                last--;
            }
            if (ring.matchesIgnoringCase(from, last, lowerCase)) {
                return true;
            }
            from = comma + 1;
        }
        return false;
    }

    /** A whole decimal number, or -1. */
    public static long number(RingBuffer ring, int from, int to) {
        if (from == to || to - from > 15) {
            return -1;
        }
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = ring.at(i) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            value = value * 10 + digit;
        }
        return value;
    }

    public static byte[] ascii(String text) {
        return text.getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    }

    private static boolean isBlank(byte b) {
        return b == ' ' || b == '\t';
    }

    private static boolean isToken(byte b) {
        return b >= 0 && TOKEN[b];
    }
}
