package hopdrum.fleet.link;

import hopdrum.fleet.message.Codec;
import hopdrum.fleet.message.Message;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;

/** FrameCodec on a stream: four bytes of length, then one message. Throws IOException for what is no frame. */
final class FrameCodec {
    static final int MOST_BYTES = 512 << 10;
    private static final int WHOLE_MS = 5_000; // from its first byte on: guards against one that dribbles

    private FrameCodec() {}

    static void write(OutputStream to, Message message) throws IOException {
        byte[] body = Codec.bytes(message);
        to.write(ByteBuffer.allocate(4 + body.length)
                .putInt(body.length)
                .put(body)
                .array());
        to.flush();
    }

    /** Null at the connection's orderly end. Waits idleMs for a frame to begin. */
    static Message read(Socket socket, InputStream from, int idleMs) throws IOException {
        socket.setSoTimeout(idleMs);
        int first = from.read();
        if (first < 0) {
            return null;
        }
        long endNanos = System.nanoTime() + WHOLE_MS * 1_000_000L;
        byte[] head = new byte[4];
        head[0] = (byte) first;
        fill(socket, from, head, 1, endNanos);
        int length = ByteBuffer.wrap(head).getInt();
        if (length <= 0 || length > MOST_BYTES) {
            throw new IOException("a frame of " + length + " bytes");
        }
        byte[] body = new byte[length];
        fill(socket, from, body, 0, endNanos);
        try {
            return Codec.read(body);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static void fill(Socket socket, InputStream from, byte[] bytes, int at, long endNanos) throws IOException {
        for (int have = at; have < bytes.length; ) {
            int leftMs = (int) ((endNanos - System.nanoTime()) / 1_000_000);
            if (leftMs <= 0) {
                throw new SocketTimeoutException("a frame that does not end");
            }
            socket.setSoTimeout(leftMs);
            int n = from.read(bytes, have, bytes.length - have);
            if (n < 0) {
                throw new EOFException("a frame that is cut off");
            }
            have += n;
        }
    }
}
