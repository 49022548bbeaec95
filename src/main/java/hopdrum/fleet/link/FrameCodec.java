package hopdrum.fleet.link;

import hopdrum.fleet.message.Codec;
import hopdrum.fleet.message.Message;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;

/** Frames on a stream: four bytes of length, big-endian, then one message. */
final class FrameCodec {
    private static final int MAX_BODY_BYTES = 512 << 10;
    private static final int FRAME_TIMEOUT_MS = 5_000; // from its first byte on: guards against slow senders

    private FrameCodec() {}

    /** A message as one frame. */
    static byte[] encode(Message message) {
        byte[] body = Codec.encode(message);
        return ByteBuffer.allocate(Integer.BYTES + body.length)
                .putInt(body.length)
                .put(body)
                .array();
    }

    /**
     * Reads one frame.
     *
     * @param idleMs how long to wait for a frame to begin
     * @return the message; null at the connection's orderly end
     * @throws IOException for what is no frame, and where it does not arrive in time
     */
    static Message read(Socket socket, InputStream in, int idleMs) throws IOException {
        socket.setSoTimeout(idleMs);
        int first = in.read();
        if (first < 0) {
            return null;
        }
        long deadlineNanos = System.nanoTime() + FRAME_TIMEOUT_MS * 1_000_000L;
        byte[] header = new byte[Integer.BYTES];
        header[0] = (byte) first;
        readFully(socket, in, header, 1, deadlineNanos);
        int length = ByteBuffer.wrap(header).getInt();
        if (length <= 0 || length > MAX_BODY_BYTES) {
            throw new IOException("a frame of " + length + " bytes");
        }
        byte[] body = new byte[length];
        readFully(socket, in, body, 0, deadlineNanos);
        try {
            return Codec.decode(body);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static void readFully(Socket socket, InputStream in, byte[] bytes, int from, long deadlineNanos)
            throws IOException {
        int filled = from;
        while (filled < bytes.length) {
            int remainingMs = (int) ((deadlineNanos - System.nanoTime()) / 1_000_000);
            if (remainingMs <= 0) {
                throw new SocketTimeoutException("a frame that does not end");
            }
            socket.setSoTimeout(remainingMs);
            int count = in.read(bytes, filled, bytes.length - filled);
            if (count < 0) {
                throw new EOFException("a frame that is cut off");
            }
            filled += count;
        }
    }
}
