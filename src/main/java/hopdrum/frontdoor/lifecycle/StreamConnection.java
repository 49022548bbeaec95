package hopdrum.frontdoor.lifecycle;

import hopdrum.frontdoor.wire.RingBuffer;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * One TCP connection: moves bytes between its socket and its two rings, while a subclass knows what they mean. {@link
 * #close} is the one place where the socket, its key and the rings' memory are given back. All methods are called on the
 * event loop's thread.
 */
public abstract class StreamConnection implements EventLoop.ChannelHandler {
    /** How the other side ended a connection. */
    public enum CloseCause {
        /** By the end of its stream. */
        END_OF_STREAM,
        /** By a reset, a refusal or a failure. */
        FAILURE
    }

    private static final int MAX_READ_BYTES = 16 << 10; // per event: guards all others against one at full speed

    /** The loop that this connection belongs to. */
    protected final EventLoop loop;
    /** What has come in and is not handled yet. */
    protected final RingBuffer in;
    /** What is to be written. */
    protected final RingBuffer out;

    private final SocketChannel channel;
    private final SelectionKey key;
    private boolean connected;
    private boolean closed;
    private boolean failureScheduled; // a write failed where the subclass may not be notified at once
    private boolean inputEnded;

    /**
     * An accepted connection.
     *
     * @param maxIn the most bytes of input that are held
     * @param maxOut the most bytes of output that are held
     * @param account notified of the rings' memory
     * @throws IOException if the channel cannot be set up; it is closed then
     */
    protected StreamConnection(
            EventLoop loop, SocketChannel channel, int maxIn, int maxOut, RingBuffer.MemoryListener account)
            throws IOException {
        this(loop, channel, maxIn, maxOut, account, true);
    }

    /**
     * A connection to be opened; {@link #connected} is called once it is up, unless it is at once.
     *
     * @param maxIn the most bytes of input that are held
     * @param maxOut the most bytes of output that are held
     * @param account notified of the rings' memory
     * @throws IOException if the system refuses a socket or the connection at once
     */
    protected StreamConnection(
            EventLoop loop, SocketAddress to, int maxIn, int maxOut, RingBuffer.MemoryListener account)
            throws IOException {
        this(loop, open(to), maxIn, maxOut, account, false);
    }

    private StreamConnection(
            EventLoop loop,
            SocketChannel channel,
            int maxIn,
            int maxOut,
            RingBuffer.MemoryListener account,
            boolean accepted)
            throws IOException {
        this.loop = loop;
        this.channel = channel;
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            connected = accepted || channel.isConnected();
            key = channel.register(loop.selector(), connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
        in = new RingBuffer(maxIn, account);
        out = new RingBuffer(maxOut, account);
    }

    private static SocketChannel open(SocketAddress to) throws IOException {
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

    /** Bytes have come in. */
    protected abstract void bytesReceived();

    /** The other side has ended the connection, or it broke; called once, and not after {@link #close}. */
    protected abstract void disconnected(CloseCause cause);

    /** The connection has come up. */
    protected void connected() {}

    /** A number of bytes has been written to the socket. */
    protected void bytesWritten(int count) {}

    /** All that was to be written is written. */
    protected void outputDrained() {}

    /** Called by {@link #close}: what counts connections learns that this one is gone. */
    protected abstract void connectionClosed();

    /** Whether the connection has come up and is not closed on this side. */
    public final boolean isConnected() {
        return connected && !closed;
    }

    /** Whether the connection is closed on this side. */
    public final boolean isClosed() {
        return closed;
    }

    @Override
    public final void channelReady(SelectionKey ready) throws IOException {
        if (closed) {
            return;
        }
        if (ready.isConnectable()) {
            channel.finishConnect();
            connected = true;
            connected();
            if (!closed) {
                write();
            }
        }
        if (!closed && ready.isWritable()) {
            write();
        }
        if (!closed && ready.isReadable()) {
            read();
        }
    }

    @Override
    public final void channelFailed(Exception e) {
        if (!(e instanceof IOException)) {
            new Log("link").error("a connection's handling failed", e);
        }
        handleDisconnect(CloseCause.FAILURE);
    }

    /** Reads bytes that have come in before the selector says so; what they cause happens at once. */
    public final void readNow() {
        if (!closed && connected) {
            try {
                read();
            } catch (IOException e) {
                handleDisconnect(CloseCause.FAILURE);
            }
        }
    }

    private void read() throws IOException {
        boolean any = false;
        boolean end = false;
        int sizeBefore = in.size();
        while (!in.isFull() && in.size() - sizeBefore < MAX_READ_BYTES) {
            if (in.size() > 0 && in.contiguousSpace().remaining() == 0 && !in.reserve(1)) {
                break;
            }
            ByteBuffer space = in.contiguousSpace();
            int capacity = space.remaining();
            int count = channel.read(space);
            if (count > 0) {
                in.advanceEnd(count);
                any = true;
            }
            end = count < 0;
            if (count < capacity) {
                break;
            }
        }
        if (any) {
            bytesReceived();
        }
        if (end && !closed) {
            inputEnded = true;
            handleDisconnect(CloseCause.END_OF_STREAM);
        } else if (!closed) {
            updateInterest();
        }
    }

    /** Writes as much as the socket takes. Safe inside Policy's calls: the subclass is notified of a failure later. */
    protected final void flush() {
        if (closed || !connected) {
            return;
        }
        try {
            write();
        } catch (IOException e) {
            if (!failureScheduled) {
                failureScheduled = true;
                loop.runAfterCurrentEvent(() -> handleDisconnect(CloseCause.FAILURE));
            }
        }
    }

    private void write() throws IOException {
        boolean any = !out.isEmpty();
        while (!out.isEmpty()) {
            ByteBuffer content = out.contiguousContent();
            int count = channel.write(content);
            out.skip(count);
            bytesWritten(count);
            if (content.hasRemaining()) {
                break;
            }
        }
        updateInterest();
        if (any && out.isEmpty()) {
            out.shrink();
            outputDrained();
        }
    }

    /** A ring that is full stops reading; bytes that the socket does not take wait for it to be writable. */
    protected final void updateInterest() {
        if (!closed && connected && key.isValid()) {
            int ops = (in.isFull() || inputEnded ? 0 : SelectionKey.OP_READ)
                    | (out.isEmpty() ? 0 : SelectionKey.OP_WRITE);
            if (ops != key.interestOps()) {
                key.interestOps(ops);
            }
        }
    }

    private void handleDisconnect(CloseCause cause) {
        if (!closed) {
            disconnected(cause);
            close();
        }
    }

    /** Ends sending; what still comes in is taken and dropped by the subclass until the other side ends too. */
    protected final void endSending() {
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            close();
        }
    }

    /** Closes the connection and gives its resources back; without effect once it is closed. */
    public final void close() {
        if (closed) {
            return;
        }
        closed = true;
        key.cancel();
        try {
            channel.close();
        } catch (IOException e) {
            new Log("link").warning("a socket did not close cleanly", e.getMessage());
        }
        in.free();
        out.free();
        connectionClosed();
    }
}
