package hopdrum.frontdoor.lifecycle;

import hopdrum.frontdoor.wire.RingBuffer;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * One TCP connection: the thin driver that moves bytes between its socket and its two rings. What the bytes mean is
 * its subclass's. close() is the one place where the socket, its key and the rings' memory are given back.
 */
public abstract class StreamConnection implements EventLoop.Ready {
    protected final EventLoop loop;
    protected final RingBuffer in;
    protected final RingBuffer out;
    private static final int TURN = 16 << 10; // bytes read at a time: guards all others against one at full speed
    private final SocketChannel channel;
    private final SelectionKey key;
    private boolean connected;
    private boolean closed;
    private boolean breaking; // it broke while it may not be told yet
    private boolean ended;

    /** An accepted connection. */
    protected StreamConnection(
            EventLoop loop, SocketChannel channel, int mostIn, int mostOut, RingBuffer.Account account)
            throws IOException {
        this(loop, channel, mostIn, mostOut, account, true);
    }

    /** A connection to be opened. */
    protected StreamConnection(EventLoop loop, SocketAddress to, int mostIn, int mostOut, RingBuffer.Account account)
            throws IOException {
        this(loop, opened(to), mostIn, mostOut, account, false);
    }

    private StreamConnection(
            EventLoop loop,
            SocketChannel channel,
            int mostIn,
            int mostOut,
            RingBuffer.Account account,
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
        in = new RingBuffer(mostIn, account);
        out = new RingBuffer(mostOut, account);
    }

    private static SocketChannel opened(SocketAddress to) throws IOException {
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
    protected abstract void received();

    /** How the other side ended a connection: by the end of its stream, or by a reset, a refusal or a failure. */
    public enum Ending {
        IN_ORDER,
        BROKEN
    }

    /** The other side has ended the connection, or it broke; called once, and not after close(). */
    protected abstract void ended(Ending ending);

    /** The connection has come up. */
    protected void connected() {}

    /** All that was to be written is written. */
    protected void drained() {}

    /** Called by close(): what counts connections learns that this one is gone. */
    protected abstract void released();

    public final boolean isConnected() {
        return connected && !closed;
    }

    public final boolean isClosed() {
        return closed;
    }

    @Override
    public final void ready(SelectionKey ready) throws IOException {
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
    public final void broken(Exception e) {
        if (!(e instanceof IOException)) {
            new Log("link").fault("a connection's handling failed", e);
        }
        end(Ending.BROKEN);
    }

    /** Looks for bytes that have come in without having been told of; what they cause happens at once. */
    public final void readNow() {
        if (!closed && connected) {
            try {
                read();
            } catch (IOException e) {
                end(Ending.BROKEN);
            }
        }
    }

    private void read() throws IOException {
        boolean any = false;
        boolean end = false;
        int from = in.size();
        while (!in.isFull() && in.size() - from < TURN) {
            if (in.size() > 0 && in.space().remaining() == 0 && !in.reserve(1)) {
                break;
            }
            ByteBuffer space = in.space();
            int room = space.remaining();
            int count = channel.read(space);
            if (count > 0) {
                in.filled(count);
                any = true;
            }
            end = count < 0;
            if (count < room) {
                break;
            }
        }
        if (any) {
            received();
        }
        if (end && !closed) {
            ended = true;
            end(Ending.IN_ORDER);
        } else if (!closed) {
            interest();
        }
    }

    /** Writes what is in the ring out as far as the socket takes it. Safe inside Policy's calls: a failure comes later. */
    protected final void flush() {
        if (closed || !connected) {
            return;
        }
        try {
            write();
        } catch (IOException e) {
            if (!breaking) {
                breaking = true;
                loop.soon(() -> end(Ending.BROKEN));
            }
        }
    }

    private void write() throws IOException {
        boolean any = !out.isEmpty();
        while (!out.isEmpty()) {
            ByteBuffer content = out.content();
            int count = channel.write(content);
            out.skip(count);
            wrote(count);
            if (content.hasRemaining()) {
                break;
            }
        }
        interest();
        if (any && out.isEmpty()) {
            out.shrink();
            drained();
        }
    }

    protected void wrote(int count) {}

    /** A ring that is full stops reading; bytes that the socket does not take wait for it to be writable. */
    protected final void interest() {
        if (!closed && connected && key.isValid()) {
            int ops = (in.isFull() || ended ? 0 : SelectionKey.OP_READ) | (out.isEmpty() ? 0 : SelectionKey.OP_WRITE);
            if (ops != key.interestOps()) {
                key.interestOps(ops);
            }
        }
    }

    private void end(Ending ending) {
        if (!closed) {
            ended(ending);
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
        released();
    }
}
