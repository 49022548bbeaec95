package hopdrum.benchlink;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** The reply frame being written; grows as needed and is used again for each batch. */
final class Reply {
    private ByteBuffer bytes = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int records;

    void start() {
        bytes.clear().position(8);
        records = 0;
    }

    /** Starts a record of the given size in all; the caller puts what follows code and instance. */
    ByteBuffer record(int code, int instance, int size) {
        if (bytes.remaining() < size) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(bytes.capacity() * 2, bytes.position() + size));
            larger.order(ByteOrder.LITTLE_ENDIAN).put(bytes.flip());
            bytes = larger;
        }
        records++;
        return bytes.put((byte) code).putInt(instance);
    }

    void writeTo(OutputStream out) throws IOException {
        bytes.putInt(0, bytes.position()).putInt(4, records);
        out.write(bytes.array(), 0, bytes.position());
        out.flush();
    }
}
