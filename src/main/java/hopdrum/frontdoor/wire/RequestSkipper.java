package hopdrum.frontdoor.wire;

/**
 * Finds the ends of pipelined requests without keeping their bytes: reads the head of each request and drops it together
 * with its body as the bytes arrive.
 */
public final class RequestSkipper {
    private static final int STATUS_CONTENT_TOO_LARGE = 413;

    private final HttpHeadParser head = new HttpHeadParser(HttpReader.Kind.REQUEST);
    private final MessageFraming framing = new MessageFraming();
    private boolean inBody;
    private long remainingBodyBytes; // of a body whose length is stated
    private long chunkDataBytes;
    private ChunkedDecoder chunkedDecoder; // null outside a chunked body

    /**
     * Drops the bytes at the front of a buffer that belong to the current request.
     *
     * @return true once the request has ended; false if further bytes have to arrive
     * @throws MalformedMessageException if the end of the request cannot be told; the skipper cannot be used afterwards
     */
    public boolean skipRequest(RingBuffer ring) throws MalformedMessageException {
        if (!inBody && !skipHead(ring)) {
            return false;
        }
        boolean ended = chunkedDecoder == null ? skipBodyOfStatedLength(ring) : skipChunks(ring);
        inBody = !ended;
        return ended;
    }

    private boolean skipHead(RingBuffer ring) throws MalformedMessageException {
        if (!head.read(ring)) {
            return false;
        }
        framing.read(ring, head);
        ring.skip(head.headTo());
        head.reset();
        chunkedDecoder = framing.isChunked() ? new ChunkedDecoder() : null;
        chunkDataBytes = 0;
        remainingBodyBytes = framing.hasLength() ? framing.length() : 0;
        checkBodyLength(remainingBodyBytes);
        inBody = true;
        return true;
    }

    private boolean skipBodyOfStatedLength(RingBuffer ring) {
        int skipped = (int) Math.min(remainingBodyBytes, ring.size());
        ring.skip(skipped);
        remainingBodyBytes -= skipped;
        return remainingBodyBytes == 0;
    }

    private boolean skipChunks(RingBuffer ring) throws MalformedMessageException {
        while (!ring.isEmpty()) {
            boolean isData = chunkedDecoder.accept(ring.at(0));
            ring.skip(1);
            chunkDataBytes += isData ? 1 : 0;
            checkBodyLength(chunkDataBytes);
            if (chunkedDecoder.isEnded()) {
                return true;
            }
        }
        return false;
    }

    private static void checkBodyLength(long bytes) throws MalformedMessageException {
        if (bytes > HttpReader.MAX_REQUEST_BODY_BYTES) {
            throw new MalformedMessageException(
                    STATUS_CONTENT_TOO_LARGE,
                    "the body is longer than " + HttpReader.MAX_REQUEST_BODY_BYTES + " bytes");
        }
    }

    /** Whether no byte of a request has been read since the end of the one before. */
    public boolean isBetweenRequests() {
        return !inBody && !head.isStarted();
    }

    /** Whether the connection stays open after the request whose head was read last. */
    public boolean keepAlive() {
        return framing.keepAlive();
    }

    /** Whether the client of the current request awaits 100 Continue before it sends the body. */
    public boolean awaitsContinue() {
        return inBody && framing.expectsContinue();
    }
}
