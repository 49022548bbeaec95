package hopdrum.frontdoor.lifecycle;

import hopdrum.frontdoor.wire.RingBuffer;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * A non-blocking TCP connection: moves bytes between its socket and two ring buffers. Subclasses interpret the bytes.
 * {@link #close} alone releases the socket, its selection key and the buffers' memory. All methods must be called on
 * the event loop's thread.
 */
public abstract class StreamConnection implements EventLoop.ChannelHandler {
    /** The event loop on which the connection is handled. */
    protected final EventLoop loop;
    /** The receive buffer: bytes that were received and are not handled yet. */
    protected final RingBuffer in;
    /** The send buffer: bytes that are to be written to the socket. */
    protected final RingBuffer out;

    private final SocketChannel channel;
    private final SocketInput input;
    private final SelectionKey key;
    private boolean connected;
    private boolean closed;
    private boolean disconnectScheduled; // disconnected() is called after the current event
    private boolean readingSuspended;
    private int missingReceiveBytes; // for which reading waits until there is memory; 0 if it does not wait
    private long lastProgressUs; // when bytes were last received or written

    /**
     * Takes over an accepted connection.
     *
     * @param loop the event loop on which the connection is handled
     * @param channel the connected channel
     * @param inLimits the limits of the receive buffer
     * @param outLimits the limits of the send buffer
     * @throws IOException if the channel cannot be set up; the channel is closed then
     */
    protected StreamConnection(EventLoop loop, SocketChannel channel, BufferLimits inLimits, BufferLimits outLimits)
            throws IOException {
        this.loop = loop;
        this.channel = channel;
        this.input = new SocketInput(channel);
        try {
            SocketCalls.configure(channel);
            connected = channel.isConnected();
            key = channel.register(loop.selector(), connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
        in = new RingBuffer(inLimits.maxBytes(), inLimits.memory());
        out = new RingBuffer(outLimits.maxBytes(), outLimits.memory());
        lastProgressUs = loop.nowUs();
    }

    /**
     * Starts to connect. {@link #connected} is called once the connection is established, unless it is established at
     * once.
     *
     * @param loop the event loop on which the connection is handled
     * @param to the address to connect to
     * @param inLimits the limits of the receive buffer
     * @param outLimits the limits of the send buffer
     * @throws IOException if no socket can be opened, or if connecting fails at once
     */
    protected StreamConnection(EventLoop loop, SocketAddress to, BufferLimits inLimits, BufferLimits outLimits)
            throws IOException {
        this(loop, SocketCalls.startConnecting(to), inLimits, outLimits);
    }

    /** Called when bytes have been added to the receive buffer. */
    protected abstract void bytesReceived();

    /**
     * Called when the other side has ended the connection or it has failed; at most once, and not after {@link #close}.
     */
    protected abstract void disconnected(CloseCause cause);

    /** Called when a connection that was being opened is established. */
    protected void connected() {}

    /**
     * Called when the receive buffer is filled and cannot grow. Waits for memory, unless a subclass overrides it; a
     * buffer at its limit has to be emptied first.
     */
    protected void receiveBufferExhausted() {
        if (!in.isFull()) {
            awaitReceiveMemory(1);
        }
    }

    /** The buffer into which received bytes go; {@link #in}, unless a subclass overrides it. */
    protected RingBuffer receiveBuffer() {
        return in;
    }

    /** Whether the receive buffer may ask for memory; a subclass may limit the growth further than the buffer does. */
    protected boolean mayReceiveBufferGrow() {
        return true;
    }

    /**
     * Called after each read, before {@link #bytesReceived}.
     *
     * @param count the number of bytes that were read
     * @param foundEmpty whether the read has found neither further bytes nor the end of the stream
     */
    protected void readObserved(int count, boolean foundEmpty) {}

    /** Whether the last read has taken all bytes that had arrived. */
    protected final boolean isDrained() {
        return input.isDrained();
    }

    /**
     * The memory that {@link #abandonTransfer} would free, in bytes: that of a buffer whose bytes wait for the other
     * side to send or to read. 0 if there is none.
     */
    public int reclaimableBytes() {
        return 0;
    }

    /** Gives up the transfer that waits for the other side, with the response that is owed, and frees its memory. */
    public void abandonTransfer() {
        close();
    }

    /** When bytes were last received or written, in microseconds of the event loop's clock. */
    public final long lastProgressUs() {
        return lastProgressUs;
    }

    /**
     * Makes space for the bytes that are still missing, or stops reading until there is memory for them.
     *
     * @param missingBytes the least number of bytes to make space for
     */
    protected final void awaitReceiveMemory(int missingBytes) {
        if (!in.reserve(missingBytes)) {
            missingReceiveBytes = missingBytes;
            suspendReading();
        }
    }

    /** Whether reading has stopped until there is memory for the receive buffer. */
    public final boolean isAwaitingMemory() {
        return missingReceiveBytes > 0 && !closed;
    }

    /** Resumes reading if the memory that the connection waits for is granted now; returns false if it is not. */
    public final boolean resumeIfMemoryGranted() {
        if (!in.reserve(missingReceiveBytes)) {
            return false;
        }
        resumeReading();
        return true;
    }

    /** Stops reading, so that the other side has to wait, until {@link #resumeReading} is called. */
    protected final void suspendReading() {
        readingSuspended = true;
        updateInterest();
    }

    /** Reads again after {@link #suspendReading}, once the receive buffer has space. */
    protected final void resumeReading() {
        missingReceiveBytes = 0;
        if (readingSuspended) {
            readingSuspended = false;
            updateInterest();
        }
    }

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
            finishConnecting();
        }
        if (!closed && readyKey.isWritable()) {
            write();
        }
        if (!closed && readyKey.isReadable()) {
            read();
        }
    }

    private void finishConnecting() throws IOException {
        connected = channel.finishConnect();
        if (connected) {
            connected();
            if (!closed) {
                write();
            }
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

    /** Writes and reads what the socket takes and has now, without waiting for the selector. */
    public final void transferNow() {
        flush();
        if (!readingSuspended) {
            readNow();
        }
    }

    private void read() throws IOException {
        if (readAvailable()) {
            bytesReceived();
        }
        if (!closed
                && (receiveBuffer().isFull()
                        || (input.isMemoryDenied() && !receiveBuffer().hasSpace()))) {
            receiveBufferExhausted();
        }
        if (input.isEnded() && !closed) {
            handleDisconnect(CloseCause.END_OF_STREAM);
        } else if (!closed) {
            updateInterest();
        }
    }

    /** Adds bytes that have arrived to the receive buffer; returns whether there were any. */
    private boolean readAvailable() throws IOException {
        int count = input.read(receiveBuffer(), this::mayReceiveBufferGrow);
        readObserved(count, input.hasFoundEmpty());
        lastProgressUs = count > 0 ? loop.nowUs() : lastProgressUs;
        return count > 0;
    }

    /**
     * Reads what has arrived and returns whether the other side has ended the connection. May be called while Policy is
     * calling a method of its Host: the subclass is notified of the end after the current event.
     */
    public final boolean hasPeerLeft() {
        if (closed || disconnectScheduled || !connected) {
            return closed || disconnectScheduled;
        }
        try {
            if (readAvailable()) {
                bytesReceived();
            }
        } catch (IOException e) {
            scheduleDisconnect(CloseCause.FAILURE);
        }
        if (input.isEnded()) {
            scheduleDisconnect(CloseCause.END_OF_STREAM);
        }
        return closed || disconnectScheduled;
    }

    private void scheduleDisconnect(CloseCause cause) {
        if (!disconnectScheduled) {
            disconnectScheduled = true;
            loop.runAfterCurrentEvent(() -> handleDisconnect(cause));
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
            scheduleDisconnect(CloseCause.FAILURE);
        }
    }

    private void write() throws IOException {
        boolean hadOutput = !out.isEmpty();
        while (!out.isEmpty()) {
            ByteBuffer content = out.contiguousContent();
            int count = SocketCalls.write(channel, content);
            out.skip(count);
            if (count > 0) {
                lastProgressUs = loop.nowUs();
            }
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
            int ops = (receiveBuffer().isFull() || input.isEnded() || readingSuspended ? 0 : SelectionKey.OP_READ)
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
        if (!SocketCalls.endSending(channel)) {
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
        SocketCalls.close(channel);
        in.free();
        out.free();
        connectionClosed();
    }
}
