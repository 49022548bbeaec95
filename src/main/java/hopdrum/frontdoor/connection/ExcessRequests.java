package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.wire.BufferMemory;
import hopdrum.frontdoor.wire.MalformedMessageException;
import hopdrum.frontdoor.wire.RequestSkipper;
import hopdrum.frontdoor.wire.RingBuffer;

/**
 * The pipelined requests of a connection that exceed its receive buffer. Their bytes are dropped and each is owed a
 * rejection, so that the connection goes on reading and notices when the client leaves, in bounded memory.
 */
final class ExcessRequests {
    private static final int MAX_BUFFER_BYTES = 16 << 10; // more than the longest head
    private static final int STATUS_REJECTED = 503;

    private final RingBuffer buffer;
    private final RequestSkipper skipper = new RequestSkipper();
    private int unanswered;
    private int lastStatus; // of the response that ends the connection, once all others are answered; 0 without one

    private ExcessRequests(BufferMemory memory) {
        buffer = new RingBuffer(MAX_BUFFER_BYTES, memory);
    }

    /**
     * Starts with the bytes behind a message in a connection's receive buffer. Complete requests stay there; bytes of an
     * incomplete one at the end are removed and belong to the first excess request.
     *
     * @param in the receive buffer
     * @param messageTo where the message at the front of the buffer ends
     * @param memory grants the memory of the buffer for incomplete heads
     */
    static ExcessRequests takeIncomplete(RingBuffer in, int messageTo, BufferMemory memory) {
        ExcessRequests excess = new ExcessRequests(memory);
        int keptTo = messageTo;
        for (int from = messageTo; from < in.size() && excess.lastStatus == 0; ) {
            int count = Math.min(in.size() - from, RingBuffer.INITIAL_CAPACITY);
            excess.buffer.reserve(count);
            excess.buffer.put(in, from, count);
            from += count;
            while (excess.skipRequest()) {
                keptTo = from - excess.buffer.size();
            }
        }
        in.truncate(keptTo);
        return excess;
    }

    /** The buffer into which the connection reads. */
    RingBuffer buffer() {
        return buffer;
    }

    /**
     * Handles the bytes that have been added to the buffer.
     *
     * @return the number of requests that have ended
     */
    int bytesReceived() {
        int before = unanswered;
        while (skipRequest()) {
            unanswered++;
            if (!skipper.keepAlive()) {
                unanswered--;
                endWith(STATUS_REJECTED);
            }
        }
        return unanswered - before;
    }

    /** Drops the bytes of the current request; returns true once it has ended. */
    private boolean skipRequest() {
        if (lastStatus != 0) {
            buffer.skip(buffer.size());
            return false;
        }
        try {
            boolean ended = skipper.skipRequest(buffer);
            if (!ended && skipper.awaitsContinue()) {
                endWith(STATUS_REJECTED); // the client may wait for the interim response for ever
            }
            return ended;
        } catch (MalformedMessageException e) {
            endWith(e.status);
            return false;
        }
    }

    private void endWith(int status) {
        lastStatus = status;
        buffer.skip(buffer.size());
    }

    /** Whether a request is owed a rejection. */
    boolean hasUnanswered() {
        return unanswered > 0;
    }

    /** Whether the next rejection is the last that is owed for what has been received. */
    boolean isLastUnanswered() {
        return unanswered == 1 && lastStatus == 0 && isBetweenRequests();
    }

    /** Takes one of the requests that are owed a rejection. */
    void answerOne() {
        unanswered--;
    }

    /** The status of the response that ends the connection once no request is unanswered; 0 if there is none. */
    int lastStatus() {
        return lastStatus;
    }

    /** Whether the bytes read so far end with a complete request, so that the next one can be kept again. */
    boolean isBetweenRequests() {
        return skipper.isBetweenRequests() && buffer.isEmpty();
    }

    /** Releases the buffer's memory. */
    void free() {
        buffer.free();
    }
}
