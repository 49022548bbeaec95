package hopdrum.frontdoor.wire;

import java.nio.ByteBuffer;

/**
 * The bytes of one connection in one direction. Starts small, doubles up to its most, and goes back to small when
 * empty. Positions are counted from the front, so they stay as they are while bytes come in behind.
 */
public final class RingBuffer {
    private static final int FIRST = 1 << 10;
    private final int most;
    private final Account account;
    private byte[] bytes;
    private int front;
    private int size;

    /** Told of every change in what rings hold, so that all of them together can be bounded. */
    public interface Account {
        void changed(int byBytes);
    }

    public RingBuffer(int most, Account account) {
        this.most = most;
        this.account = account;
        this.bytes = new byte[FIRST];
        account.changed(FIRST);
    }

    public int size() {
        return size;
    }

    public boolean isEmpty() {
        return size == 0;
    }

    public boolean isFull() {
        return size == most;
    }

    public byte at(int position) {
        return bytes[front + position & bytes.length - 1];
    }

    /** Makes room for more bytes; false if the ring would pass its most. */
    public boolean reserve(int more) {
        if (size + more <= bytes.length) {
            return true;
        }
        if (size + more > most) {
            return false;
        }
        resize(Integer.highestOneBit(size + more - 1) << 1);
        return true;
    }

    /** Gives memory back once the ring is empty; the owner calls it when the connection goes idle. */
    public void shrink() {
        if (size == 0 && bytes.length > FIRST) {
            resize(FIRST);
        }
    }

    /** The owner's connection is closed: all memory goes back, and the ring is not used again. */
    public void free() {
        account.changed(-bytes.length);
        bytes = new byte[1];
        size = 0;
        front = 0;
    }

    private void resize(int capacity) {
        byte[] larger = new byte[capacity];
        copyOut(0, size, larger, 0);
        account.changed(capacity - bytes.length);
        bytes = larger;
        front = 0;
    }

    /** The free part that can be read into in one piece; filled() tells how much of it was. */
    public ByteBuffer space() {
        if (size == 0) {
            front = 0;
        }
        int end = front + size & bytes.length - 1;
        int length = size == bytes.length ? 0 : end < front ? front - end : bytes.length - end;
        return ByteBuffer.wrap(bytes, end, length);
    }

    public void filled(int count) {
        size += count;
    }

    /** The bytes from the front that lie in one piece. */
    public ByteBuffer content() {
        return ByteBuffer.wrap(bytes, front, Math.min(size, bytes.length - front));
    }

    public void skip(int count) {
        size -= count;
        front = size == 0 ? 0 : front + count & bytes.length - 1;
    }

    public void put(byte[] from) {
        put(from, 0, from.length);
    }

    /** The caller has reserved room. */
    public void put(byte[] from, int at, int count) {
        int end = front + size & bytes.length - 1;
        int first = Math.min(count, bytes.length - end);
        System.arraycopy(from, at, bytes, end, first);
        System.arraycopy(from, at + first, bytes, 0, count - first);
        size += count;
    }

    public void put(RingBuffer from, int position, int count) {
        int start = from.front + position & from.bytes.length - 1;
        int first = Math.min(count, from.bytes.length - start);
        put(from.bytes, start, first);
        if (count > first) {
            put(from.bytes, 0, count - first);
        }
    }

    public void copyOut(int position, int count, byte[] to, int at) {
        int start = front + position & bytes.length - 1;
        int first = Math.min(count, bytes.length - start);
        System.arraycopy(bytes, start, to, at, first);
        System.arraycopy(bytes, 0, to, at + first, count - first);
    }

    /** Moves one byte towards the front; chunk framing is closed up this way. */
    void move(int from, int to) {
        bytes[front + to & bytes.length - 1] = at(from);
    }

    public String text(int from, int to) {
        byte[] copy = new byte[to - from];
        copyOut(from, copy.length, copy, 0);
        return new String(copy, java.nio.charset.StandardCharsets.ISO_8859_1);
    }

    public boolean matches(int from, int to, byte[] what) {
        if (to - from != what.length) {
            return false;
        }
        for (int i = 0; i < what.length; i++) {
            if (at(from + i) != what[i]) {
                return false;
            }
        }
        return true;
    }

    /** As matches(), but letters of either case are the same; what is given in lower case. */
    public boolean matchesIgnoringCase(int from, int to, byte[] what) {
        if (to - from != what.length) {
            return false;
        }
        for (int i = 0; i < what.length; i++) {
            byte b = at(from + i);
            if ((b >= 'A' && b <= 'Z' ? b + 32 : b) != what[i]) {
                return false;
            }
        }
        return true;
    }
}
