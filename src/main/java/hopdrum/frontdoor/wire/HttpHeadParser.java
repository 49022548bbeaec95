package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

/** The start line and header fields of the message at the front of a ring; reads on from where it stopped. */
final class HttpHeadParser {
    private static final byte[] HTTP_1 = ascii("HTTP/1.");
    private static final byte[] HTTP_11 = ascii("HTTP/1.1");
    private static final byte[] HTTP_10 = ascii("HTTP/1.0");

    private final HttpReader.Kind kind;
    private final HeaderFields fields = new HeaderFields();
    private int scanned;
    private int lineFrom;
    private boolean hasStartLine;
    private boolean isHttp11;
    private int verbTo;
    private int targetTo;
    private int status;
    private int headTo;

    HttpHeadParser(HttpReader.Kind kind) {
        this.kind = kind;
    }

    /** Reads on; true once the empty line that ends the head has been read. */
    boolean read(RingBuffer ring) throws MalformedMessageException {
        while (scanned == 0 && !ring.isEmpty() && (ring.at(0) == '\r' || ring.at(0) == '\n')) {
            ring.skip(1); // empty lines before a message are allowed
        }
        int size = ring.size();
        while (scanned < size) {
            byte b = ring.at(scanned++);
            if (kind == HttpReader.Kind.RESPONSE && scanned <= HTTP_1.length && b != HTTP_1[scanned - 1]) {
                // Found at once, since bytes that are no HTTP may never hold a line break.
                throw new MalformedMessageException(400, "not an HTTP/1 response");
            }
            if (b == '\n') {
                if (lineEnds(ring)) {
                    headTo = scanned;
                    return true;
                }
            } else if ((b < ' ' && b != '\t' && b != '\r' && b >= 0) || b == 127) {
                throw new MalformedMessageException(400, "a control character in the head");
            } else if (scanned > 1 && ring.at(scanned - 2) == '\r') {
                throw new MalformedMessageException(400, "a carriage return stands alone");
            }
            if (scanned > HttpReader.MAX_HEAD_BYTES) {
                throw new MalformedMessageException(
                        431, "the head is longer than " + HttpReader.MAX_HEAD_BYTES + " bytes");
            }
        }
        return false;
    }

    /** Takes the line that ends with the line feed scanned last; true if it is the empty one at the head's end. */
    private boolean lineEnds(RingBuffer ring) throws MalformedMessageException {
        int to = scanned - 2;
        if (to < lineFrom || ring.at(to) != '\r') {
            throw new MalformedMessageException(400, "a line does not end with CR LF");
        }
        if (to == lineFrom) {
            return true;
        }
        if (hasStartLine) {
            fields.add(ring, lineFrom, to);
        } else {
            hasStartLine = true;
            if (kind == HttpReader.Kind.REQUEST) {
                requestLine(ring, lineFrom, to);
            } else {
                statusLine(ring, lineFrom, to);
            }
        }
        lineFrom = scanned;
        return false;
    }

    private void requestLine(RingBuffer ring, int from, int to) throws MalformedMessageException {
        verbTo = from;
        while (verbTo < to && Ascii.isToken(ring.at(verbTo))) {
            verbTo++;
        }
        targetTo = verbTo + 1;
        while (targetTo < to && ring.at(targetTo) != ' ') {
            targetTo++;
        }
        boolean wellFormed = verbTo > from
                && verbTo < to
                && ring.at(verbTo) == ' '
                && targetTo > verbTo + 1
                && targetTo < to
                && ring.at(verbTo + 1) == '/';
        version(ring, targetTo + 1, to, wellFormed);
    }

    private void statusLine(RingBuffer ring, int from, int to) throws MalformedMessageException {
        boolean wellFormed =
                to - from >= 12 && ring.at(from + 8) == ' ' && (to - from == 12 || ring.at(from + 12) == ' ');
        status = 0;
        for (int i = from + 9; wellFormed && i < from + 12; i++) {
            int digit = ring.at(i) - '0';
            wellFormed = digit >= 0 && digit <= 9;
            status = status * 10 + digit;
        }
        version(ring, from, from + 8, wellFormed && status >= 100);
    }

    private void version(RingBuffer ring, int from, int to, boolean wellFormed) throws MalformedMessageException {
        if (!wellFormed) {
            throw new MalformedMessageException(400, "the first line is malformed");
        }
        isHttp11 = ring.matches(from, to, HTTP_11);
        if (!isHttp11 && !ring.matches(from, to, HTTP_10)) {
            throw new MalformedMessageException(400, "neither HTTP/1.1 nor HTTP/1.0");
        }
    }

    /** Starts anew with a message at the front of the ring. */
    void reset() {
        scanned = 0;
        lineFrom = 0;
        hasStartLine = false;
        fields.clear();
    }

    /** Whether any byte of the message has been read. */
    boolean isStarted() {
        return scanned > 0;
    }

    HeaderFields fields() {
        return fields;
    }

    /** Whether the version is HTTP/1.1, whose connections are kept alive unless a field says otherwise. */
    boolean isHttp11() {
        return isHttp11;
    }

    int verbTo() {
        return verbTo;
    }

    int targetTo() {
        return targetTo;
    }

    int status() {
        return status;
    }

    /** Where the head ends and the body begins. */
    int headTo() {
        return headTo;
    }
}
