package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

/** What the header fields of a message say of its body's framing and of its connection. */
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

    /** Reads the fields of one message; what an earlier message said is forgotten. */
    void read(RingBuffer ring, HttpHeadParser head) throws MalformedMessageException {
        HeaderFields fields = head.fields();
        hasLength = false;
        length = 0;
        chunked = false;
        keepAlive = head.isHttp11();
        expectsContinue = false;
        for (int i = 0; i < fields.count(); i++) {
            if (fields.isNamed(ring, i, CONTENT_LENGTH)) {
                contentLength(Ascii.parseDecimal(ring, fields.valueFrom(i), fields.valueTo(i)));
            } else if (fields.isNamed(ring, i, TRANSFER_ENCODING)) {
                // A second coding, or one that is not known, leaves open where the body ends.
                if (chunked || !ring.matchesIgnoringCase(fields.valueFrom(i), fields.valueTo(i), CHUNKED)) {
                    throw new MalformedMessageException(400, "a transfer encoding other than chunked");
                }
                chunked = true;
            } else if (fields.isNamed(ring, i, CONNECTION)) {
                keepAlive = keepAlive ? !fields.hasElement(ring, i, CLOSE) : fields.hasElement(ring, i, KEEP_ALIVE);
            } else if (fields.isNamed(ring, i, EXPECT)) {
                expectsContinue = ring.matchesIgnoringCase(fields.valueFrom(i), fields.valueTo(i), CONTINUE);
            }
        }
        if (chunked && hasLength) {
            throw new MalformedMessageException(400, "both a length and chunks");
        }
    }

    private void contentLength(long value) throws MalformedMessageException {
        if (value == Ascii.NOT_A_NUMBER || (hasLength && value != length)) {
            throw new MalformedMessageException(400, "the content length is malformed");
        }
        hasLength = true;
        length = value;
    }

    boolean hasLength() {
        return hasLength;
    }

    /** The body's length in bytes; 0 if none is given. */
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
