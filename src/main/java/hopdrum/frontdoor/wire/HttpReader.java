package hopdrum.frontdoor.wire;

/**
 * Reads the HTTP/1.1 message at the front of a buffer as its bytes arrive. Once {@link #read} has returned true, the
 * message is complete and its parts are given as positions in the buffer, which are valid until {@link #removeMessage}.
 */
public final class HttpReader {
    /** The kind of message that is read. */
    public enum Kind {
        /** Requests, which begin with a request line. */
        REQUEST,
        /** Responses, which begin with a status line; interim responses are skipped. */
        RESPONSE
    }

    /** The largest head that is accepted, in bytes. */
    public static final int MAX_HEAD_BYTES = 8 << 10;
    /** The largest request body that is accepted, in bytes. */
    public static final int MAX_REQUEST_BODY_BYTES = 64 << 10;
    /** The largest response body that is accepted, in bytes; responses may be larger than any request. */
    public static final int MAX_RESPONSE_BODY_BYTES = 1 << 20;
    /** The size of a buffer that holds any accepted response with its head and framing, in bytes. */
    public static final int RESPONSE_RING_BYTES = 2 * MAX_RESPONSE_BODY_BYTES;

    private static final int MAX_INTERIM_RESPONSES = 16;

    private enum State {
        HEAD,
        FIXED_LENGTH,
        CHUNKED,
        CLOSE_DELIMITED,
        COMPLETE
    }

    private final Kind kind;
    private final HttpHeadParser head;
    private final MessageFraming framing = new MessageFraming();
    private State state = State.HEAD;
    private ChunkedDecoder chunkedDecoder;
    private int chunksReadTo;
    private boolean keepAlive;
    private boolean expectsContinue;
    private int interimResponses; // that have been skipped before the current message
    private int bodyTo;
    private int messageTo;

    /** Creates a reader for the messages of one direction of a connection. */
    public HttpReader(Kind kind) {
        this.kind = kind;
        this.head = new HttpHeadParser(kind);
    }

    /**
     * Reads the bytes that have been added since the last call.
     *
     * @return true once the message is complete
     * @throws MalformedMessageException if the message is malformed or too long; the reader cannot be used afterwards
     */
    public boolean read(RingBuffer ring) throws MalformedMessageException {
        if (!readHead(ring)) {
            return false;
        }
        switch (state) {
            case FIXED_LENGTH -> readFixedLengthBody(ring);
            case CHUNKED -> readChunks(ring);
            case CLOSE_DELIMITED -> bodyTo = checkBodyEnd(ring.size());
            default -> {}
        }
        return state == State.COMPLETE;
    }

    /** Whether the head is complete and gives no body length, so that the body ends when the connection is closed. */
    public boolean isCloseDelimited() {
        return state == State.CLOSE_DELIMITED;
    }

    /** Completes the message at the end of its head; the body is taken to be empty. */
    public void completeAtHead() {
        complete(head.headTo(), head.headTo());
    }

    /**
     * Completes a close-delimited message with the body received so far. To be called when the peer closes the
     * connection in an orderly way, but not after a reset, which may have truncated the body.
     */
    public void completeAtClose() {
        complete(bodyTo, bodyTo);
    }

    /** Removes the message from the buffer and prepares for the next one. */
    public void removeMessage(RingBuffer ring) {
        ring.skip(messageTo);
        state = State.HEAD;
        head.reset();
        chunkedDecoder = null;
        messageTo = 0;
    }

    private void complete(int bodyEnd, int messageEnd) {
        bodyTo = bodyEnd;
        messageTo = messageEnd;
        interimResponses = 0;
        state = State.COMPLETE;
    }

    /** Reads the head only, for a response whose body has no length limit; true once the head is complete. */
    boolean readHead(RingBuffer ring) throws MalformedMessageException {
        while (state == State.HEAD && head.read(ring)) {
            if (kind == Kind.REQUEST || head.status() >= 200) {
                startBody(ring);
            } else if (head.status() == 101 || ++interimResponses > MAX_INTERIM_RESPONSES) {
                throw new MalformedMessageException(
                        400, "the response switches protocols or follows too many interim responses");
            } else {
                messageTo = head.headTo();
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
            chunkedDecoder = new ChunkedDecoder();
            chunksReadTo = head.headTo();
            bodyTo = head.headTo();
            state = State.CHUNKED;
        } else if (framing.hasLength() || kind == Kind.REQUEST) {
            state = State.FIXED_LENGTH;
        } else {
            keepAlive = false;
            bodyTo = head.headTo();
            state = State.CLOSE_DELIMITED;
        }
    }

    private void readFixedLengthBody(RingBuffer ring) throws MalformedMessageException {
        int to = checkBodyEnd((int) Math.min(Integer.MAX_VALUE, head.headTo() + framing.length()));
        if (ring.size() >= to) {
            complete(to, to);
        }
    }

    /** Decodes the chunks in place: moves their data forward over the chunk framing. */
    private void readChunks(RingBuffer ring) throws MalformedMessageException {
        while (chunksReadTo < ring.size()) {
            if (chunkedDecoder.accept(ring.at(chunksReadTo))) {
                checkBodyEnd(bodyTo + 1);
                ring.move(chunksReadTo, bodyTo++);
            }
            chunksReadTo++;
            if (chunkedDecoder.isEnded()) {
                complete(bodyTo, chunksReadTo);
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

    /** The least number of bytes that the buffer has to take for the message to become complete; at least 1. */
    public int missingBytes(RingBuffer ring) {
        long missing = state == State.FIXED_LENGTH ? head.headTo() + framing.length() - ring.size() : 1;
        return (int) Math.max(1, missing);
    }

    /** The length of the body in bytes, or -1 if the body is chunked or close-delimited. */
    long contentLength() {
        return state == State.FIXED_LENGTH ? framing.length() : -1;
    }

    /** Whether the reader is reading a chunked body. */
    boolean isChunked() {
        return state == State.CHUNKED;
    }

    /** Returns true once per request if its head is complete and its client waits for 100 Continue to send the body. */
    public boolean takeExpectContinue() {
        boolean expected = expectsContinue && state != State.HEAD && state != State.COMPLETE;
        expectsContinue = false;
        return expected;
    }

    /** Whether a complete message is at the front of the buffer. */
    public boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Whether any byte of the message has been read. */
    public boolean isStarted() {
        return head.isStarted();
    }

    /** Whether the connection stays open after this message; valid once the head is complete. */
    public boolean keepAlive() {
        return keepAlive;
    }

    /** The status code of a response. */
    public int status() {
        return head.status();
    }

    /** The position where the HTTP method of a request ends; it begins at 0. */
    int httpMethodTo() {
        return head.httpMethodTo();
    }

    /** The position where the target of a request ends; it begins one byte after the end of the HTTP method. */
    int targetTo() {
        return head.targetTo();
    }

    /** The positions of the header fields. */
    HeaderFields fields() {
        return head.fields();
    }

    /** The position where the head ends and the body begins. */
    public int bodyFrom() {
        return head.headTo();
    }

    /** The position where the body ends; the chunk framing is not part of the body. */
    public int bodyTo() {
        return bodyTo;
    }

    /** The position where the message ends, including its chunk framing. */
    public int messageTo() {
        return messageTo;
    }
}
