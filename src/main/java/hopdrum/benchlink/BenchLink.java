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

/** Reads batches of events from the bench, passes each event to its instance, and writes one reply per batch. */
public final class BenchLink {
    private static final int LENGTH_BYTES = 4;
    // A frame that consists of the header only.
    private static final int MIN_FRAME_BYTES = 16;
    private static final int MAX_FRAME_BYTES = 1 << 30;

    private final DataInputStream in;
    private final OutputStream out;
    private final RecordWriter writer = new RecordWriter();
    private final Map<Integer, GatewayInstance> instances = new HashMap<>();

    /**
     * Creates a link on two streams, which it does not close.
     *
     * @param in the frames of the bench
     * @param out the stream for the replies; flushed after each reply
     */
    public BenchLink(InputStream in, OutputStream out) {
        this.in = new DataInputStream(in);
        this.out = out;
    }

    /**
     * Handles batches until the input ends between two frames.
     *
     * @throws IOException if a stream fails or a frame is malformed; for a malformed frame the message names the frame
     *     and, if there is one, the record and its byte position
     */
    public void run() throws IOException {
        for (long frame = 0; ; frame++) {
            ByteBuffer batch = readFrame(frame);
            if (batch == null) {
                return;
            }
            long nowUs = batch.getLong();
            long records = batch.getInt() & 0xffffffffL;
            writer.startFrame();
            for (long record = 0; record < records; record++) {
                int position = batch.position();
                try {
                    handleRecord(batch, nowUs);
                } catch (BufferUnderflowException e) {
                    throw new IOException(
                            "frame " + frame + ": record " + record + " at byte " + position
                                    + " runs past the frame's end",
                            e);
                } catch (MalformedRecordException e) {
                    throw new IOException(
                            "frame " + frame + ": record " + record + " at byte " + position + ": " + e.getMessage(),
                            e);
                }
            }
            if (batch.hasRemaining()) {
                throw new IOException("frame " + frame + ": " + batch.remaining() + " bytes after the last record");
            }
            writer.writeTo(out);
        }
    }

    /** Reads the next frame and returns its content after the length; null at the end of the input. */
    private ByteBuffer readFrame(long frame) throws IOException {
        byte[] length = in.readNBytes(LENGTH_BYTES);
        if (length.length == 0) {
            return null;
        }
        if (length.length < LENGTH_BYTES) {
            throw new IOException("frame " + frame + ": input ends inside the length");
        }
        int size = ByteBuffer.wrap(length).order(ByteOrder.LITTLE_ENDIAN).getInt();
        if (size < MIN_FRAME_BYTES || size > MAX_FRAME_BYTES) {
            throw new IOException("frame " + frame + ": invalid length " + (size & 0xffffffffL) + " bytes");
        }
        byte[] body = in.readNBytes(size - LENGTH_BYTES);
        if (body.length < size - LENGTH_BYTES) {
            throw new EOFException(
                    "frame " + frame + ": input ends after " + (body.length + LENGTH_BYTES) + " of " + size + " bytes");
        }
        return ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
    }

    private void handleRecord(ByteBuffer batch, long nowUs) throws MalformedRecordException {
        EventType event = EventType.of(batch.get() & 0xff);
        int number = batch.getInt();
        if (event == EventType.INSTANCE_STOPPED) {
            instances.remove(number);
            return;
        }
        if (event == EventType.INSTANCE_ATTACHED) {
            instances.put(number, new GatewayInstance(number, writer));
        }
        // An event for an instance that is not attached is parsed to its end by a new instance without a policy, which
        // ignores it.
        GatewayInstance instance = instances.get(number);
        (instance == null ? new GatewayInstance(number, writer) : instance).handle(event, batch, nowUs);
    }
}
