package hopdrum.benchlink;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.HashMap;
import java.util.Map;

/** Reads the bench's batches, hands each record to its instance, and writes one reply a batch. */
public final class BenchLink {
    private static final int HEADER = 16;
    private static final int MOST_FRAME = 1 << 30;

    private final DataInputStream in;
    private final OutputStream out;
    private final Reply reply = new Reply();
    private final Map<Integer, Instance> instances = new HashMap<>();

    public BenchLink(InputStream in, OutputStream out) {
        this.in = new DataInputStream(in);
        this.out = out;
    }

    /** Runs until the input ends between two frames. */
    public void run() throws IOException {
        for (long frame = 0; ; frame++) {
            ByteBuffer batch = nextFrame(frame);
            if (batch == null) {
                return;
            }
            long nowUs = batch.getLong();
            long records = batch.getInt() & 0xffffffffL;
            reply.start();
            for (long record = 0; record < records; record++) {
                int at = batch.position();
                try {
                    oneRecord(batch, nowUs);
                } catch (BufferUnderflowException e) {
                    throw new IOException(
                            "frame " + frame + ": record " + record + " at byte " + at + " runs past the frame's end",
                            e);
                } catch (MalformedRecord e) {
                    throw new IOException(
                            "frame " + frame + ": record " + record + " at byte " + at + ": " + e.getMessage(), e);
                }
            }
            if (batch.hasRemaining()) {
                throw new IOException("frame " + frame + ": " + batch.remaining() + " bytes after the last record");
            }
            reply.writeTo(out);
        }
    }

    private ByteBuffer nextFrame(long frame) throws IOException {
        byte[] head = in.readNBytes(4);
        if (head.length == 0) {
            return null;
        }
        if (head.length < 4) {
            throw new IOException("frame " + frame + ": input ends inside the length");
        }
        int size = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN).getInt();
        if (size < HEADER || size > MOST_FRAME) {
            throw new IOException("frame " + frame + ": a length of " + (size & 0xffffffffL) + " is not possible");
        }
        byte[] body = in.readNBytes(size - 4);
        if (body.length < size - 4) {
            throw new EOFException(
                    "frame " + frame + ": input ends after " + (body.length + 4) + " of " + size + " bytes");
        }
        return ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
    }

    private void oneRecord(ByteBuffer batch, long nowUs) throws MalformedRecord {
        int code = batch.get() & 0xff;
        if (code < 16 || code > 26) {
            throw new MalformedRecord("unknown event code " + code);
        }
        int number = batch.getInt();
        if (code == 17) {
            instances.remove(number);
            return;
        }
        if (code == 25) {
            instances.put(number, new Instance(number, reply));
        }
        // An event for an instance that is not attached is read to its end by one that decides nothing.
        Instance instance = instances.get(number);
        (instance == null ? new Instance(number, reply) : instance).record(code, batch, nowUs);
    }
}
