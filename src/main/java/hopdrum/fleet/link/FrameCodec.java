package hopdrum.fleet.link;

import hopdrum.fleet.message.Codec;
import hopdrum.fleet.message.Message;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;

/** Writes and reads frames. A frame is the length of a message as a four-byte big-endian integer, then the message. */
final class FrameCodec {
    private static final int MAX_BODY_BYTES = 512 << 10;
    private static final int FRAME_TIMEOUT_MS = 5_000; // from the first byte on; guards against slow senders

    private FrameCodec() {}

    /** Encodes a message as one frame. */
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
     * @param idleTimeoutMs how long to wait for the first byte of the frame, milliseconds
     * @return the message; null if the peer has closed the connection between frames
     * @throws IOException if the frame or its message is malformed or does not arrive in time
     */
    static Message read(Socket socket, InputStream in, int idleTimeoutMs) throws IOException {
        socket.setSoTimeout(idleTimeoutMs);
        int firstByte = in.read();
        if (firstByte < 0) {
            return null;
        }
        long deadlineNanos = System.nanoTime() + FRAME_TIMEOUT_MS * 1_000_000L;
        byte[] header = new byte[Integer.BYTES];
        header[0] = (byte) firstByte;
        readFully(socket, in, header, 1, deadlineNanos);
        int length = ByteBuffer.wrap(header).getInt();
        if (length <= 0 || length > MAX_BODY_BYTES) {
            throw new IOException("invalid frame length: " + length + " bytes");
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
                throw new SocketTimeoutException("timed out within a frame");
            }
            socket.setSoTimeout(remainingMs);
            int count = in.read(bytes, filled, bytes.length - filled);
            if (count < 0) {
                throw new EOFException("the connection ended within a frame");
            }
            filled += count;
        }
    }
}
