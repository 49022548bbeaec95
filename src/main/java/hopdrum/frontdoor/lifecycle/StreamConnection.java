package hopdrum.frontdoor.lifecycle;

import hopdrum.frontdoor.wire.RingBuffer;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * A non-blocking TCP connection: moves bytes between its socket and two ring buffers. Subclasses interpret the bytes.
 * {@link #close} alone releases the socket, its selection key and the buffers' memory. All methods must be called on
 * the event loop's thread.
 */
public abstract class StreamConnection implements EventLoop.ChannelHandler {
    /** How a connection came to be disconnected, if not by {@link #close}. */
    public enum CloseCause {
        /** The other side has ended its stream. */
        END_OF_STREAM,
        /** The connection was refused or reset, or has failed. */
        FAILURE
    }

    private static final int MAX_READ_BYTES = 16 << 10; // per event, so that one fast sender does not starve the others

    /** The event loop on which the connection is handled. */
    protected final EventLoop loop;
    /** The receive buffer: bytes that were received and are not handled yet. */
    protected final RingBuffer in;
    /** The send buffer: bytes that are to be written to the socket. */
    protected final RingBuffer out;

    private final SocketChannel channel;
    private final SelectionKey key;
    private boolean connected;
    private boolean closed;
    private boolean failureScheduled; // a write has failed, and disconnected() is called after the current event
    private boolean inputEnded;

    /**
     * Takes over an accepted connection.
     *
     * @param loop the event loop on which the connection is handled
     * @param channel the connected channel
     * @param maxInBytes the capacity of the receive buffer, in bytes
     * @param maxOutBytes the capacity of the send buffer, in bytes
     * @param memoryListener is notified of the memory that the buffers take
     * @throws IOException if the channel cannot be set up; the channel is closed then
     */
    protected StreamConnection(
            EventLoop loop,
            SocketChannel channel,
            int maxInBytes,
            int maxOutBytes,
            RingBuffer.MemoryListener memoryListener)
            throws IOException {
        this(loop, channel, maxInBytes, maxOutBytes, memoryListener, true);
    }

    /**
     * Starts to connect. {@link #connected} is called once the connection is established, unless it is established at
     * once.
     *
     * @param loop the event loop on which the connection is handled
     * @param to the address to connect to
     * @param maxInBytes the capacity of the receive buffer, in bytes
     * @param maxOutBytes the capacity of the send buffer, in bytes
     * @param memoryListener is notified of the memory that the buffers take
     * @throws IOException if no socket can be opened, or if connecting fails at once
     */
    protected StreamConnection(
            EventLoop loop, SocketAddress to, int maxInBytes, int maxOutBytes, RingBuffer.MemoryListener memoryListener)
            throws IOException {
        this(loop, open(to), maxInBytes, maxOutBytes, memoryListener, false);
    }

    private StreamConnection(
            EventLoop loop,
            SocketChannel channel,
            int maxInBytes,
            int maxOutBytes,
            RingBuffer.MemoryListener memoryListener,
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
        in = new RingBuffer(maxInBytes, memoryListener);
        out = new RingBuffer(maxOutBytes, memoryListener);
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

    /** Called when bytes have been added to the receive buffer. */
    protected abstract void bytesReceived();

    /**
     * Called when the other side has ended the connection or it has failed; at most once, and not after {@link #close}.
     */
    protected abstract void disconnected(CloseCause cause);

    /** Called when a connection that was being opened is established. */
    protected void connected() {}

    /** Called when a number of bytes has been written to the socket. */
    protected void bytesWritten(int count) {}

    /** Called when the send buffer has been written completely. */
    protected void outputDrained() {}

    /** Called by {@link #close}, once, so that whatever counts connections can count this one out. */
    protected abstract void connectionClosed();

    /** Whether the connection is established and not closed on this side. */
    public final boolean isConnected() {
        return connected && !closed;
    }

    /** Whether the connection is closed on this side. */
    public final boolean isClosed() {
        return closed;
    }

    @Override
    public final void channelReady(SelectionKey readyKey) throws IOException {
        if (closed) {
            return;
        }
        if (readyKey.isConnectable()) {
            channel.finishConnect();
            connected = true;
            connected();
            if (!closed) {
                write();
            }
        }
        if (!closed && readyKey.isWritable()) {
            write();
        }
        if (!closed && readyKey.isReadable()) {
            read();
        }
    }

    @Override
    public final void channelFailed(Exception e) {
        if (!(e instanceof IOException)) {
            new Log("link").error("handling a connection failed", e);
        }
        handleDisconnect(CloseCause.FAILURE);
    }

    /**
     * Reads the bytes that have already arrived, without waiting for the selector, and handles them before it returns.
     */
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
        boolean received = false;
        boolean endOfStream = false;
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
                received = true;
            }
            endOfStream = count < 0;
            if (count < capacity) {
                break;
            }
        }
        if (received) {
            bytesReceived();
        }
        if (endOfStream && !closed) {
            inputEnded = true;
            handleDisconnect(CloseCause.END_OF_STREAM);
        } else if (!closed) {
            updateInterest();
        }
    }

    /**
     * Writes as much as the socket takes. May be called while Policy is calling a method of its Host: if the write
     * fails, the subclass is notified after the current event.
     */
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
        boolean hadOutput = !out.isEmpty();
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
        if (hadOutput && out.isEmpty()) {
            out.shrink();
            outputDrained();
        }
    }

    /**
     * Reads only while the receive buffer has room, and waits for the socket to be writable while bytes are to be
     * written.
     */
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

    /**
     * Ends the outgoing stream. The subclass discards what is still received until the other side ends its stream too.
     */
    protected final void endSending() {
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            close();
        }
    }

    /** Closes the connection and releases its resources; no effect if it is already closed. */
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
