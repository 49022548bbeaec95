package hopdrum.frontdoor.lifecycle;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * Opens and configures non-blocking sockets, reads and writes. A call that fails for the moment counts as one that has
 * transferred nothing: Java returns negative counts other than the end of the stream for calls that a signal has
 * interrupted, and throws an exception if the kernel is short of memory.
 */
final class SocketCalls {
    private static final Log LOG = new Log("link");

    /** Returned by {@link #read} at the end of the stream. */
    static final int END_OF_STREAM = -1;

    /** Returned by {@link #read} if the call failed for the moment, so that bytes or the end may be waiting. */
    static final int READ_FAILED = -2;

    private static final int MAX_READ_TRIES = 4; // so that a failed call hides neither bytes nor the end

    // As the C library words ENOMEM, ENOBUFS and EINTR; the exceptions carry no number.
    private static final List<String> TRANSIENT_ERRORS =
            List.of("Cannot allocate memory", "No buffer space available", "Interrupted system call");

    private SocketCalls() {}

    /** Returns a channel that is connecting to an address, or is already connected. */
    static SocketChannel startConnecting(SocketAddress to) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.connect(to);
            return channel;
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /** Makes a channel non-blocking and lets it send small messages at once. */
    static void configure(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            LOG.warning("a connection may send small messages late", e.getMessage());
        }
    }

    /**
     * Reads, again at once if the call fails for the moment.
     *
     * @return the number of bytes read, 0 if there are none for the moment, {@link #END_OF_STREAM} or {@link
     *     #READ_FAILED}
     */
    static int read(SocketChannel channel, ByteBuffer into) throws IOException {
        int count = READ_FAILED;
        for (int tries = 0; count == READ_FAILED && tries < MAX_READ_TRIES; tries++) {
            count = tryToRead(channel, into);
        }
        return count;
    }

    private static int tryToRead(SocketChannel channel, ByteBuffer into) throws IOException {
        try {
            int count = channel.read(into);
            return count < END_OF_STREAM ? READ_FAILED : count;
        } catch (IOException e) {
            throwUnlessTransient(e);
            return READ_FAILED;
        }
    }

    /** Returns the number of bytes written, 0 if the socket takes none for the moment. */
    static int write(SocketChannel channel, ByteBuffer from) throws IOException {
        try {
            return Math.max(0, channel.write(from));
        } catch (IOException e) {
            throwUnlessTransient(e);
            return 0;
        }
    }

    /** Ends the outgoing stream; returns false if the connection has already failed. */
    static boolean endSending(SocketChannel channel) {
        try {
            channel.shutdownOutput();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Closes a channel. */
    static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            LOG.warning("a socket did not close cleanly", e.getMessage());
        }
    }

    private static void throwUnlessTransient(IOException e) throws IOException {
        if (!TRANSIENT_ERRORS.contains(e.getMessage())) {
            throw e;
        }
    }
}
