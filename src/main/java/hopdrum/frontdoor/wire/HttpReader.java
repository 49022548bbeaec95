package hopdrum.frontdoor.wire;

/**
 * One HTTP/1.1 message at the front of a ring. {@link #read} goes on from where it stopped and is true once the message
 * is complete; its parts are then positions in the ring, valid until {@link #removeMessage} takes the message off.
 */
public final class HttpReader {
    /** Which side's messages are read. */
    public enum Kind {
        /** A client's messages, with a request line. */
        REQUEST,
        /** A server's messages, with a status line; interim responses are skipped. */
        RESPONSE
    }

    /** The longest head that is read, in bytes. */
    public static final int MAX_HEAD_BYTES = 8 << 10;
    /** The longest body of a request, in bytes. */
    public static final int MAX_REQUEST_BODY_BYTES = 64 << 10;
    /** The longest body of a response, in bytes: some are longer than any RPC. */
    public static final int MAX_RESPONSE_BODY_BYTES = 1 << 20;
    /** The size of a ring that holds any response with its head and framing, in bytes. */
    public static final int RESPONSE_RING_BYTES = 2 * MAX_RESPONSE_BODY_BYTES;

    private static final int MAX_INTERIM_RESPONSES = 16;

    private enum State {
        HEAD,
        LENGTH,
        CHUNKS,
        UNTIL_CLOSE,
        COMPLETE
    }

    private final Kind kind;
    private final HttpHeadParser head;
    private final MessageFraming framing = new MessageFraming();
    private State state = State.HEAD;
    private ChunkedDecoder chunks;
    private int chunkedTo;
    private boolean keepAlive;
    private boolean expectsContinue;
    private int interimResponses; // before this message
    private int bodyTo;
    private int end;

    /** A reader for the messages of one connection's direction. */
    public HttpReader(Kind kind) {
        this.kind = kind;
        this.head = new HttpHeadParser(kind);
    }

    /**
     * Reads on; true once the message is complete.
     *
     * @throws MalformedMessageException if the bytes are no message that is accepted; the reader is of no use after it
     */
    public boolean read(RingBuffer ring) throws MalformedMessageException {
        if (!readHead(ring)) {
            return false;
        }
        switch (state) {
            case LENGTH -> readBodyOfLength(ring);
            case CHUNKS -> readChunks(ring);
            case UNTIL_CLOSE -> bodyTo = checkBodyEnd(ring.size());
            default -> {}
        }
        return state == State.COMPLETE;
    }

    /** True if the head is complete and states no end of the body: only the connection's end would be one. */
    public boolean isCloseDelimited() {
        return state == State.UNTIL_CLOSE;
    }

    /** Completes a message whose head is all that counts. */
    public void completeAtHead() {
        complete(head.headTo(), head.headTo());
    }

    /** Completes a message at the orderly end of its connection: what has come is the body. A reset is no end. */
    public void completeAtClose() {
        complete(bodyTo, bodyTo);
    }

    /** Takes the message off the ring and starts anew. */
    public void removeMessage(RingBuffer ring) {
        ring.skip(end);
        state = State.HEAD;
        head.reset();
        chunks = null;
        end = 0;
    }

    private void complete(int bodyEnd, int messageEnd) {
        bodyTo = bodyEnd;
        end = messageEnd;
        interimResponses = 0;
        state = State.COMPLETE;
    }

    /** Reads on within the head alone, for a response whose body goes on for as long as it likes; true once it is read. */
    boolean readHead(RingBuffer ring) throws MalformedMessageException {
        while (state == State.HEAD && head.read(ring)) {
            if (kind == Kind.REQUEST || head.status() >= 200) {
                startBody(ring);
            } else if (head.status() == 101 || ++interimResponses > MAX_INTERIM_RESPONSES) {
                throw new MalformedMessageException(400, "a protocol switch, or too many interim responses");
            } else {
                end = head.headTo();
                removeMessage(ring);
            }
        }
        return state != State.HEAD;
    }

    private void startBody(RingBuffer ring) throws MalformedMessageException {
        framing.read(ring, head);
        keepAlive = framing.keepAlive();
        expectsContinue = framing.expectsContinue();
        if (kind == Kind.REQUEST && framing.length() > MAX_REQUEST_BODY_BYTES) {
            throw new MalformedMessageException(413, "the body is longer than " + MAX_REQUEST_BODY_BYTES + " bytes");
        }
        if (kind == Kind.RESPONSE && (head.status() == 204 || head.status() == 304)) {
            complete(head.headTo(), head.headTo());
        } else if (framing.isChunked()) {
            chunks = new ChunkedDecoder();
            chunkedTo = head.headTo();
            bodyTo = head.headTo();
            state = State.CHUNKS;
        } else if (framing.hasLength() || kind == Kind.REQUEST) {
            state = State.LENGTH;
        } else {
            keepAlive = false;
            bodyTo = head.headTo();
            state = State.UNTIL_CLOSE;
        }
    }

    private void readBodyOfLength(RingBuffer ring) throws MalformedMessageException {
        int to = checkBodyEnd((int) Math.min(Integer.MAX_VALUE, head.headTo() + framing.length()));
        if (ring.size() >= to) {
            complete(to, to);
        }
    }

    /** Closes up the chunks' content in the ring, over their framing. */
    private void readChunks(RingBuffer ring) throws MalformedMessageException {
        while (chunkedTo < ring.size()) {
            if (chunks.accept(ring.at(chunkedTo))) {
                checkBodyEnd(bodyTo + 1);
                ring.move(chunkedTo, bodyTo++);
            }
            chunkedTo++;
            if (chunks.isEnded()) {
                complete(bodyTo, chunkedTo);
                return;
            }
        }
    }

    private int checkBodyEnd(int bodyEnd) throws MalformedMessageException {
        int limit = kind == Kind.REQUEST ? MAX_REQUEST_BODY_BYTES : MAX_RESPONSE_BODY_BYTES;
        if (bodyEnd - head.headTo() > limit) {
            throw new MalformedMessageException(413, "the body is longer than " + limit + " bytes");
        }
        return bodyEnd;
    }

    /** The body's length in bytes, or -1 where chunks or the end of the connection end it. */
    long lengthOrNone() {
        return state == State.LENGTH ? framing.length() : -1;
    }

    /** True while the body's chunks are read. */
    boolean isChunked() {
        return state == State.CHUNKS;
    }

    /** True once for a request whose head is read and whose sender waits for 100 Continue before it sends the body. */
    public boolean takeExpectContinue() {
        boolean expected = expectsContinue && state != State.HEAD && state != State.COMPLETE;
        expectsContinue = false;
        return expected;
    }

    /** Whether any byte of the message has been read. */
    public boolean isStarted() {
        return head.isStarted();
    }

    /** Whether the connection stays open after this message; known once the head is read. */
    public boolean keepAlive() {
        return keepAlive;
    }

    /** The status code of a response. */
    public int status() {
        return head.status();
    }

    /** Where the verb of a request ends; it begins at 0. */
    int verbTo() {
        return head.verbTo();
    }

    /** Where the target of a request ends; it begins one byte after the verb. */
    int targetTo() {
        return head.targetTo();
    }

    /** Where the header fields stand. */
    HeaderFields fields() {
        return head.fields();
    }

    /** Where the head ends and the body begins. */
    public int bodyFrom() {
        return head.headTo();
    }

    /** Where the body ends, chunk framing closed up. */
    public int bodyTo() {
        return bodyTo;
    }

    /** How many bytes of the ring the message takes, framing and all. */
    public int messageTo() {
        return end;
    }
}
