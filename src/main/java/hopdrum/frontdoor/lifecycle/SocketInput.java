package hopdrum.frontdoor.lifecycle;

import hopdrum.frontdoor.wire.RingBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.BooleanSupplier;

/** Reads a non-blocking socket into a ring buffer, and knows what the last read has told about the rest of the stream. */
final class SocketInput {
    private static final int MAX_READ_BYTES = 16 << 10; // at once, so that one fast sender does not starve the others
    // A receive buffer of this size grows only once its bytes have been handled, since they may tell how many follow.
    private static final int HANDLE_BEFORE_GROWTH_BYTES = 4 << 10;

    private final SocketChannel channel;
    private boolean ended;
    private boolean drained = true;
    private boolean foundEmpty;
    private boolean memoryDenied;

    SocketInput(SocketChannel channel) {
        this.channel = channel;
    }

    /**
     * Adds bytes that have arrived to a buffer.
     *
     * @param buffer the buffer
     * @param mayGrow whether the buffer may ask for memory once it is full
     * @return the number of bytes that were added
     * @throws IOException if the connection has failed
     */
    int read(RingBuffer buffer, BooleanSupplier mayGrow) throws IOException {
        int sizeBefore = buffer.size();
        drained = false;
        foundEmpty = false;
        memoryDenied = false;
        boolean mayHoldMore = true;
        while (mayHoldMore && buffer.size() - sizeBefore < MAX_READ_BYTES) {
            boolean handlesFirst = buffer.size() > sizeBefore && buffer.capacity() >= HANDLE_BEFORE_GROWTH_BYTES;
            if (!buffer.hasSpace() && handlesFirst) {
                break;
            }
            if (!buffer.hasSpace() && !(mayGrow.getAsBoolean() && buffer.reserve(1))) {
                memoryDenied = true;
                break;
            }
            mayHoldMore = readOnce(buffer);
        }
        return buffer.size() - sizeBefore;
    }

    /** Returns whether the read has filled the space that it was given. */
    private boolean readOnce(RingBuffer buffer) throws IOException {
        ByteBuffer space = buffer.contiguousSpace();
        int capacity = space.remaining();
        int count = SocketCalls.read(channel, space);
        buffer.advanceEnd(Math.max(0, count));
        ended = count == SocketCalls.END_OF_STREAM;
        foundEmpty = count == 0;
        drained = count != SocketCalls.READ_FAILED && count < capacity;
        return count == capacity;
    }

    /** Whether the other side has ended the stream. */
    boolean isEnded() {
        return ended;
    }

    /** Whether the last read has found no more bytes than it has taken. */
    boolean isDrained() {
        return drained;
    }

    /** Whether the last read has asked for more and found neither bytes nor the end of the stream. */
    boolean hasFoundEmpty() {
        return foundEmpty;
    }

    /** Whether the last read has found the buffer full and unable to grow. */
    boolean isMemoryDenied() {
        return memoryDenied;
    }
}
