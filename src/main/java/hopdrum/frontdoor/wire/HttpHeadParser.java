package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

/** Parses the start line and header fields of the message at the front of a buffer, as its bytes arrive. */
final class HttpHeadParser {
    private static final byte[] HTTP_1 = ascii("HTTP/1.");
    private static final byte[] HTTP_11 = ascii("HTTP/1.1");
    private static final byte[] HTTP_10 = ascii("HTTP/1.0");

    private final HttpReader.Kind kind;
    private final HeaderFields fields = new HeaderFields();
    private int scannedBytes;
    private int lineFrom;
    private boolean hasStartLine;
    private boolean isHttp11;
    private int httpMethodTo;
    private int targetTo;
    private int status;
    private int headTo;

    HttpHeadParser(HttpReader.Kind kind) {
        this.kind = kind;
    }

    /**
     * Parses the bytes that have been added since the last call.
     *
     * @return true once the empty line that ends the head has been read
     * @throws MalformedMessageException if the head is malformed or too long
     */
    boolean read(RingBuffer ring) throws MalformedMessageException {
        while (scannedBytes == 0 && !ring.isEmpty() && (ring.at(0) == '\r' || ring.at(0) == '\n')) {
            ring.skip(1); // HTTP allows empty lines before the start line
        }
        int size = ring.size();
        while (scannedBytes < size) {
            byte b = ring.at(scannedBytes++);
            if (kind == HttpReader.Kind.RESPONSE && scannedBytes <= HTTP_1.length && b != HTTP_1[scannedBytes - 1]) {
                // Checked on each byte, because input that is not HTTP may never contain a line break.
                throw new MalformedMessageException(400, "the response is not HTTP/1");
            }
            if (b == '\n') {
                if (parseLine(ring)) {
                    headTo = scannedBytes;
                    return true;
                }
            } else if ((b < ' ' && b != '\t' && b != '\r' && b >= 0) || b == 127) {
                throw new MalformedMessageException(400, "the head contains a control character");
            } else if (scannedBytes > 1 && ring.at(scannedBytes - 2) == '\r') {
                throw new MalformedMessageException(400, "a carriage return without a line feed");
            }
            if (scannedBytes > HttpReader.MAX_HEAD_BYTES) {
                throw new MalformedMessageException(
                        431, "the head is longer than " + HttpReader.MAX_HEAD_BYTES + " bytes");
            }
        }
        return false;
    }

    /** Parses the line that ends with the line feed just read; true if it is the empty line that ends the head. */
    private boolean parseLine(RingBuffer ring) throws MalformedMessageException {
        int to = scannedBytes - 2;
        if (to < lineFrom || ring.at(to) != '\r') {
            throw new MalformedMessageException(400, "a line in the head does not end with CR LF");
        }
        if (to == lineFrom) {
            return true;
        }
        if (hasStartLine) {
            fields.add(ring, lineFrom, to);
        } else {
            hasStartLine = true;
            if (kind == HttpReader.Kind.REQUEST) {
                parseRequestLine(ring, lineFrom, to);
            } else {
                parseStatusLine(ring, lineFrom, to);
            }
        }
        lineFrom = scannedBytes;
        return false;
    }

    private void parseRequestLine(RingBuffer ring, int from, int to) throws MalformedMessageException {
        httpMethodTo = from;
        while (httpMethodTo < to && Ascii.isTokenCharacter(ring.at(httpMethodTo))) {
            httpMethodTo++;
        }
        targetTo = httpMethodTo + 1;
        while (targetTo < to && ring.at(targetTo) != ' ') {
            targetTo++;
        }
        boolean wellFormed = httpMethodTo > from
                && httpMethodTo < to
                && ring.at(httpMethodTo) == ' '
                && targetTo > httpMethodTo + 1
                && targetTo < to
                && ring.at(httpMethodTo + 1) == '/';
        parseVersion(ring, targetTo + 1, to, wellFormed);
    }

    private void parseStatusLine(RingBuffer ring, int from, int to) throws MalformedMessageException {
        boolean wellFormed =
                to - from >= 12 && ring.at(from + 8) == ' ' && (to - from == 12 || ring.at(from + 12) == ' ');
        status = 0;
        for (int i = from + 9; wellFormed && i < from + 12; i++) {
            int digit = ring.at(i) - '0';
            wellFormed = digit >= 0 && digit <= 9;
            status = status * 10 + digit;
        }
        parseVersion(ring, from, from + 8, wellFormed && status >= 100);
    }

    private void parseVersion(RingBuffer ring, int from, int to, boolean wellFormed) throws MalformedMessageException {
        if (!wellFormed) {
            throw new MalformedMessageException(400, "the start line is malformed");
        }
        isHttp11 = ring.matches(from, to, HTTP_11);
        if (!isHttp11 && !ring.matches(from, to, HTTP_10)) {
            throw new MalformedMessageException(400, "the version is neither HTTP/1.1 nor HTTP/1.0");
        }
    }

    /** Prepares for the next message, which begins at the front of the buffer. */
    void reset() {
        scannedBytes = 0;
        lineFrom = 0;
        hasStartLine = false;
        fields.clear();
    }

    /** Whether any byte of the message has been read. */
    boolean isStarted() {
        return scannedBytes > 0;
    }

    HeaderFields fields() {
        return fields;
    }

    /** Whether the version is HTTP/1.1, in which connections persist unless a field says otherwise. */
    boolean isHttp11() {
        return isHttp11;
    }

    int httpMethodTo() {
        return httpMethodTo;
    }

    int targetTo() {
        return targetTo;
    }

    int status() {
        return status;
    }

    /** The position where the head ends and the body begins. */
    int headTo() {
        return headTo;
    }
}
