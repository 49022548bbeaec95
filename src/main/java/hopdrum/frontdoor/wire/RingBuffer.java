package hopdrum.frontdoor.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The bytes of one connection in one direction. Starts small, doubles up to its limit, and goes back to small when
 * empty. Positions are counted from the front, so they stay as they are while bytes come in behind.
 */
public final class RingBuffer {
    private static final int INITIAL_CAPACITY = 1 << 10;
    private final int limit;
    private final MemoryListener account;
    private byte[] bytes; // its length is a power of two, so that a mask wraps positions
    private int front;
    private int size;

    /** Notified of every change in the memory that rings hold, so that all of them together can be bounded. */
    public interface MemoryListener {
        /** A ring holds this many bytes more than before, or fewer if below 0. */
        void memoryChanged(int deltaBytes);
    }

    /**
     * An empty ring.
     *
     * @param limit the most bytes that it may hold
     * @param account notified of this ring's memory, from now on
     */
    public RingBuffer(int limit, MemoryListener account) {
        this.limit = limit;
        this.account = account;
        this.bytes = new byte[INITIAL_CAPACITY];
        account.memoryChanged(INITIAL_CAPACITY);
    }

    /** How many bytes are in the ring. */
    public int size() {
        return size;
    }

    /** Whether there are no bytes in the ring. */
    public boolean isEmpty() {
        return size == 0;
    }

    /** Whether the ring holds as much as it ever may. */
    public boolean isFull() {
        return size == limit;
    }

    /** The byte at a position, which is below the size. */
    public byte at(int position) {
        return bytes[(front + position) & (bytes.length - 1)]; // as wrapped(): read for each byte of each message
    }

    private int wrapped(int position) {
        return (front + position) & (bytes.length - 1);
    }

    /** Makes room for more bytes; false, and nothing changes, if the ring would pass its limit. */
    public boolean reserve(int more) {
        if (size + more <= bytes.length) {
            return true;
        }
        if (size + more > limit) {
            return false;
        }
        resize(Integer.highestOneBit(size + more - 1) << 1);
        return true;
    }

    /** Gives memory back once the ring is empty; the owner calls it when the connection goes idle. */
    public void shrink() {
        if (size == 0 && bytes.length > INITIAL_CAPACITY) {
            resize(INITIAL_CAPACITY);
        }
    }

    /** Gives all memory back as the owner's connection closes; the ring is not used again. */
    public void free() {
        account.memoryChanged(-bytes.length);
        bytes = new byte[1];
        size = 0;
        front = 0;
    }

    private void resize(int capacity) {
        byte[] resized = new byte[capacity];
        copyOut(0, size, resized, 0);
        account.memoryChanged(capacity - bytes.length);
        bytes = resized;
        front = 0;
    }

    /** The free part that can be read into in one piece; {@link #advanceEnd} says how much of it was. */
    public ByteBuffer contiguousSpace() {
        if (size == 0) {
            front = 0;
        }
        int end = wrapped(size);
        int length = size == bytes.length ? 0 : end < front ? front - end : bytes.length - end;
        return ByteBuffer.wrap(bytes, end, length);
    }

    /** Adds the first bytes that were read into {@link #contiguousSpace}. */
    public void advanceEnd(int count) {
        size += count;
    }

    /** The bytes from the front that lie in one piece; {@link #skip} takes them off. */
    public ByteBuffer contiguousContent() {
        return ByteBuffer.wrap(bytes, front, Math.min(size, bytes.length - front));
    }

    /** Takes bytes off the front. */
    public void skip(int count) {
        size -= count;
        front = size == 0 ? 0 : wrapped(count);
    }

    /** Appends bytes; the caller has reserved room. */
    public void put(byte[] from) {
        put(from, 0, from.length);
    }

    /** Appends a part of an array; the caller has reserved room. */
    public void put(byte[] from, int offset, int count) {
        int end = wrapped(size);
        int untilWrap = Math.min(count, bytes.length - end);
        System.arraycopy(from, offset, bytes, end, untilWrap);
        System.arraycopy(from, offset + untilWrap, bytes, 0, count - untilWrap);
        size += count;
    }

    /** Appends a part of another ring; the caller has reserved room. */
    public void put(RingBuffer from, int position, int count) {
        int start = from.wrapped(position);
        int untilWrap = Math.min(count, from.bytes.length - start);
        put(from.bytes, start, untilWrap);
        if (count > untilWrap) {
            put(from.bytes, 0, count - untilWrap);
        }
    }

    private void copyOut(int position, int count, byte[] to, int offset) {
        int start = wrapped(position);
        int untilWrap = Math.min(count, bytes.length - start);
        System.arraycopy(bytes, start, to, offset, untilWrap);
        System.arraycopy(bytes, 0, to, offset + untilWrap, count - untilWrap);
    }

    /** Copies one byte to a position nearer to the front: the framing of chunks is closed up this way. */
    void move(int from, int to) {
        bytes[wrapped(to)] = at(from);
    }

    /** The text of a range, one character a byte. */
    public String text(int from, int to) {
        byte[] copy = new byte[to - from];
        copyOut(from, copy.length, copy, 0);
        return new String(copy, StandardCharsets.ISO_8859_1);
    }

    /** Whether a range holds exactly the given bytes. */
    public boolean matches(int from, int to, byte[] expected) {
        if (to - from != expected.length) {
            return false;
        }
        for (int i = 0; i < expected.length; i++) {
            if (at(from + i) != expected[i]) {
                return false;
            }
        }
        return true;
    }

    /** As {@link #matches}, but ASCII letters of either case are the same. */
    public boolean matchesIgnoringCase(int from, int to, byte[] expectedInLowerCase) {
        if (to - from != expectedInLowerCase.length) {
            return false;
        }
        for (int i = 0; i < expectedInLowerCase.length; i++) {
            byte b = at(from + i);
            if ((b >= 'A' && b <= 'Z' ? b + 32 : b) != expectedInLowerCase[i]) {
                return false;
            }
        }
        return true;
    }
}
