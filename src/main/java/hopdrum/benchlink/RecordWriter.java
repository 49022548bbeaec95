package hopdrum.benchlink;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** Writes the records of one reply frame into a buffer that grows as needed and is reused for each batch. */
final class RecordWriter {
    private static final int FRAME_HEADER_BYTES = 8;
    private static final int SIZE_POSITION = 0;
    private static final int COUNT_POSITION = 4;
    private static final int INITIAL_CAPACITY = 1 << 16;

    private ByteBuffer frame = ByteBuffer.allocate(INITIAL_CAPACITY).order(ByteOrder.LITTLE_ENDIAN);
    private int records;

    /** Starts an empty frame; the previous content of the buffer is dropped. */
    void startFrame() {
        frame.clear().position(FRAME_HEADER_BYTES);
        records = 0;
    }

    /** Starts a record of fixed size; the caller puts the fields that follow the instance number. */
    ByteBuffer startRecord(ActionType action, int instance) {
        return startRecord(action, instance, 0);
    }

    /**
     * Starts a record that ends with a field of variable length.
     *
     * @param contentBytes the size of that field's content in bytes
     */
    ByteBuffer startRecord(ActionType action, int instance, int contentBytes) {
        int size = action.size + contentBytes;
        if (frame.remaining() < size) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(frame.capacity() * 2, frame.position() + size));
            larger.order(ByteOrder.LITTLE_ENDIAN).put(frame.flip());
            frame = larger;
        }
        records++;
        return frame.put(action.code).putInt(instance);
    }

    /** Writes the frame with its header and flushes the stream. */
    void writeTo(OutputStream out) throws IOException {
        frame.putInt(SIZE_POSITION, frame.position()).putInt(COUNT_POSITION, records);
        out.write(frame.array(), 0, frame.position());
        out.flush();
    }
}
