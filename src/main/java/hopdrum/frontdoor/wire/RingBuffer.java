package hopdrum.frontdoor.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A ring buffer for one direction of a connection. It starts small, grows up to its limit at least by doubling, and can
 * shrink again when it is empty. Positions are counted from the front, so appending bytes does not change them.
 */
public final class RingBuffer {
    /** The memory that each buffer takes until it first grows, and again once it has shrunk, in bytes. */
    public static final int INITIAL_CAPACITY = 1 << 10;

    private final int maxBytes;
    private final BufferMemory memory;
    private byte[] bytes;
    private int front;
    private int size;

    /**
     * Creates an empty buffer.
     *
     * @param maxBytes the most bytes that the buffer may hold
     * @param memory grants the memory of this buffer; the initial memory is taken in any case
     */
    public RingBuffer(int maxBytes, BufferMemory memory) {
        this.maxBytes = maxBytes;
        this.memory = memory;
        this.bytes = new byte[INITIAL_CAPACITY];
        memory.allocate(INITIAL_CAPACITY);
    }

    /** The number of bytes in the buffer. */
    public int size() {
        return size;
    }

    /** Whether the buffer holds no bytes. */
    public boolean isEmpty() {
        return size == 0;
    }

    /** The memory that the buffer takes, in bytes; more than {@link #INITIAL_CAPACITY} only while it has grown. */
    public int capacity() {
        return bytes.length;
    }

    /** Whether the buffer has space for another byte without growing. */
    public boolean hasSpace() {
        return size < bytes.length;
    }

    /** Whether the buffer holds as many bytes as its limit allows. */
    public boolean isFull() {
        return size == maxBytes;
    }

    /** Returns the byte at a position, which must be below the size. */
    public byte at(int position) {
        return bytes[arrayIndex(position)];
    }

    private int arrayIndex(int position) {
        int index = front + position;
        return index < bytes.length ? index : index - bytes.length;
    }

    /**
     * Makes space for appending more bytes.
     *
     * @return false if the buffer would exceed its limit, or if no memory is granted; nothing changes then
     */
    public boolean reserve(int additionalBytes) {
        if (size + additionalBytes <= bytes.length) {
            return true;
        }
        if (size + additionalBytes > maxBytes) {
            return false;
        }
        int neededCapacity = (size + additionalBytes + INITIAL_CAPACITY - 1) / INITIAL_CAPACITY * INITIAL_CAPACITY;
        int capacity = Math.min(maxBytes, Math.max(neededCapacity, 2 * bytes.length));
        if (!memory.tryAllocate(capacity - bytes.length)) {
            return false;
        }
        resize(capacity);
        return true;
    }

    /** Releases memory if the buffer is empty; its owner calls this method when the connection becomes idle. */
    public void shrink() {
        if (size == 0 && bytes.length > INITIAL_CAPACITY) {
            memory.release(bytes.length - INITIAL_CAPACITY);
            resize(INITIAL_CAPACITY);
        }
    }

    /** Releases all memory when the owner's connection closes; the buffer must not be used afterwards. */
    public void free() {
        memory.release(bytes.length);
        bytes = new byte[1];
        size = 0;
        front = 0;
    }

    private void resize(int capacity) {
        byte[] resized = new byte[capacity];
        copyOut(0, size, resized, 0);
        bytes = resized;
        front = 0;
    }

    /** The contiguous free space after the last byte. Bytes read into it are appended by {@link #advanceEnd}. */
    public ByteBuffer contiguousSpace() {
        if (size == 0) {
            front = 0;
        }
        int end = arrayIndex(size);
        int length = size == bytes.length ? 0 : end < front ? front - end : bytes.length - end;
        return ByteBuffer.wrap(bytes, end, length);
    }

    /** Appends the first {@code count} bytes of {@link #contiguousSpace}, which the caller has filled. */
    public void advanceEnd(int count) {
        size += count;
    }

    /** The contiguous bytes at the front. The caller removes those that it has processed with {@link #skip}. */
    public ByteBuffer contiguousContent() {
        return ByteBuffer.wrap(bytes, front, Math.min(size, bytes.length - front));
    }

    /** Removes bytes from the front. */
    public void skip(int count) {
        size -= count;
        front = size == 0 ? 0 : arrayIndex(count);
    }

    /** Removes the bytes behind a position. */
    public void truncate(int newSize) {
        size = newSize;
    }

    /** Appends an array of bytes; the caller has reserved the space. */
    public void put(byte[] from) {
        put(from, 0, from.length);
    }

    /** Appends a part of an array; the caller has reserved the space. */
    public void put(byte[] from, int offset, int count) {
        int end = arrayIndex(size);
        int untilWrap = Math.min(count, bytes.length - end);
        System.arraycopy(from, offset, bytes, end, untilWrap);
        System.arraycopy(from, offset + untilWrap, bytes, 0, count - untilWrap);
        size += count;
    }

    /** Appends a part of another buffer; the caller has reserved the space. */
    public void put(RingBuffer from, int position, int count) {
        int start = from.arrayIndex(position);
        int untilWrap = Math.min(count, from.bytes.length - start);
        put(from.bytes, start, untilWrap);
        if (count > untilWrap) {
            put(from.bytes, 0, count - untilWrap);
        }
    }

    private void copyOut(int position, int count, byte[] to, int offset) {
        int start = arrayIndex(position);
        int untilWrap = Math.min(count, bytes.length - start);
        System.arraycopy(bytes, start, to, offset, untilWrap);
        System.arraycopy(bytes, 0, to, offset + untilWrap, count - untilWrap);
    }

    /** Copies one byte to a position nearer to the front, over the framing between two chunks of a body. */
    void move(int from, int to) {
        bytes[arrayIndex(to)] = at(from);
    }

    /** Returns a range as text with one ISO 8859-1 character per byte. */
    public String text(int from, int to) {
        byte[] copy = new byte[to - from];
        copyOut(from, copy.length, copy, 0);
        return new String(copy, StandardCharsets.ISO_8859_1);
    }

    /** Whether a range holds exactly the expected bytes. */
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

    /** Like {@link #matches}, but ignores the case of ASCII letters. */
    public boolean matchesIgnoringCase(int from, int to, byte[] lowerCaseExpected) {
        if (to - from != lowerCaseExpected.length) {
            return false;
        }
        for (int i = 0; i < lowerCaseExpected.length; i++) {
            byte b = at(from + i);
            if ((b >= 'A' && b <= 'Z' ? b + 32 : b) != lowerCaseExpected[i]) {
                return false;
            }
        }
        return true;
    }
}
