package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

/** The framing of a message's body and the persistence of its connection, as its header fields state them. */
final class MessageFraming {
    private static final byte[] CONTENT_LENGTH = ascii("content-length");
    private static final byte[] TRANSFER_ENCODING = ascii("transfer-encoding");
    private static final byte[] CONNECTION = ascii("connection");
    private static final byte[] EXPECT = ascii("expect");
    private static final byte[] CLOSE = ascii("close");
    private static final byte[] KEEP_ALIVE = ascii("keep-alive");
    private static final byte[] CHUNKED = ascii("chunked");
    private static final byte[] CONTINUE = ascii("100-continue");

    private boolean hasLength;
    private long length;
    private boolean chunked;
    private boolean keepAlive;
    private boolean expectsContinue;

    /**
     * Reads the header fields of one message, replacing the state of the previous message.
     *
     * @throws MalformedMessageException if the fields leave the length of the body unknown or ambiguous
     */
    void read(RingBuffer ring, HttpHeadParser head) throws MalformedMessageException {
        HeaderFields fields = head.fields();
        hasLength = false;
        length = 0;
        chunked = false;
        keepAlive = head.isHttp11();
        expectsContinue = false;
        for (int i = 0; i < fields.count(); i++) {
            if (fields.isNamed(ring, i, CONTENT_LENGTH)) {
                setContentLength(Ascii.parseDecimal(ring, fields.valueFrom(i), fields.valueTo(i)));
            } else if (fields.isNamed(ring, i, TRANSFER_ENCODING)) {
                // With a second or unknown transfer coding, the end of the body is unknown.
                if (chunked || !ring.matchesIgnoringCase(fields.valueFrom(i), fields.valueTo(i), CHUNKED)) {
                    throw new MalformedMessageException(
                            400, "the transfer encoding is not chunked, or is stated twice");
                }
                chunked = true;
            } else if (fields.isNamed(ring, i, CONNECTION)) {
                keepAlive = keepAlive ? !fields.hasElement(ring, i, CLOSE) : fields.hasElement(ring, i, KEEP_ALIVE);
            } else if (fields.isNamed(ring, i, EXPECT)) {
                expectsContinue = ring.matchesIgnoringCase(fields.valueFrom(i), fields.valueTo(i), CONTINUE);
            }
        }
        if (chunked && hasLength) {
            throw new MalformedMessageException(400, "the message has both Content-Length and Transfer-Encoding");
        }
    }

    private void setContentLength(long value) throws MalformedMessageException {
        if (value == Ascii.NOT_A_NUMBER || (hasLength && value != length)) {
            throw new MalformedMessageException(400, "Content-Length is malformed or contradictory");
        }
        hasLength = true;
        length = value;
    }

    boolean hasLength() {
        return hasLength;
    }

    /** The length of the body in bytes; 0 if the message does not state a length. */
    long length() {
        return length;
    }

    boolean isChunked() {
        return chunked;
    }

    boolean keepAlive() {
        return keepAlive;
    }

    boolean expectsContinue() {
        return expectsContinue;
    }
}
