package hopdrum.fleet.link;

import hopdrum.fleet.log.FleetLog;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The connections of one member: it writes on those that it opened, one to each address that it has something for, and
 * reads on those that others opened. One thread for each; this class starts and ends them all. Thread-safe.
 */
public final class PeerConnections implements AutoCloseable {
    /** Takes what peers send. Called from the connections' threads, several at once. */
    public interface MessageHandler {
        /**
         * Decides on a peer that has connected.
         *
         * @param hello the peer's first message
         * @return why the peer is rejected; empty to admit it
         */
        Optional<String> rejectionReason(Message.Hello hello);

        /**
         * Takes a message of a peer that was admitted.
         *
         * @param from the sender, by its hello
         * @param message the message
         */
        void received(Member from, Message message);

        /**
         * Takes note that a peer has rejected this member.
         *
         * @param address the peer's address
         * @param reason the reason that the peer gave
         */
        void rejectedBy(String address, String reason);
    }

    private static final int MAX_INBOUND = 2_000;
    private static final int ACCEPT_BACKLOG = 256;
    private static final int HELLO_TIMEOUT_MS = 3_000;
    private static final int IDLE_TIMEOUT_MS = 120_000;
    private static final long STALLED_US = 3_000_000;
    private static final int READ_BUFFER_BYTES = 16 << 10;
    private static final int STACK_BYTES = 256 << 10; // there are many threads, and none has a deep stack

    private final MessageHandler handler;
    private final FleetLog log;
    private final Message.Hello hello;
    private final ServerSocket listener;
    private final SplittableRandom random;
    private final Map<String, OutboundConnection> outbound = new HashMap<>(); // by address; removed as its thread ends
    private final Set<Socket> inbound = new HashSet<>(); // removed as its thread ends; bounded by MAX_INBOUND
    private final AtomicLong bytesSent = new AtomicLong();
    private final AtomicLong messagesSent = new AtomicLong();
    private boolean closed;

    /**
     * Binds the listening address; connections are accepted from {@link #start} on.
     *
     * @param listen the address to listen on
     * @param hello this member's first message on each connection
     * @param random jitters the backoff of reconnects
     * @param handler takes what peers send
     * @param log takes connections' faults
     * @throws IOException where the address cannot be bound
     */
    public PeerConnections(
            InetSocketAddress listen,
            Message.Hello hello,
            SplittableRandom random,
            MessageHandler handler,
            FleetLog log)
            throws IOException {
        this.handler = handler;
        this.log = log;
        this.hello = hello;
        this.random = random;
        this.listener = new ServerSocket();
        try {
            listener.setReuseAddress(true);
            listener.bind(listen, ACCEPT_BACKLOG);
        } catch (IOException | RuntimeException e) {
            listener.close();
            throw e;
        }
    }

    /** Starts to accept connections; called once. */
    public void start() {
        newThread("fleet-accept", this::acceptAll).start();
    }

    private static Thread newThread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Queues a message to an address; never waits. The queue is bounded: the oldest message is dropped for a new one.
     *
     * @param address the peer's numeric address and port
     * @param message the message
     */
    public synchronized void send(String address, Message message) {
        if (closed) {
            return;
        }
        OutboundConnection connection = outbound.get(address);
        if (connection == null) {
            connection = new OutboundConnection(this, address, random.split());
            outbound.put(address, connection);
            newThread("fleet-out-" + address, connection).start();
        }
        connection.offer(message);
    }

    /**
     * Cuts connections whose peer does not read: a write that has not come through for 3 s.
     *
     * @param nowUs the machine's monotonic clock, microseconds
     */
    public synchronized void cutStalled(long nowUs) {
        for (OutboundConnection connection : outbound.values()) {
            connection.cutIfStalledSince(nowUs - STALLED_US);
        }
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket socket = listener.accept();
                synchronized (this) {
                    if (closed || inbound.size() >= MAX_INBOUND) {
                        socket.close();
                        continue;
                    }
                    inbound.add(socket);
                }
                newThread("fleet-in-" + socket.getPort(), () -> serve(socket)).start();
            } catch (IOException e) {
                if (listener.isClosed()) {
                    return;
                }
                log.rateLimitedEvent("accept_failed", e.getMessage());
            }
        }
    }

    /** Serves one connection that a peer opened, from its hello to its end. */
    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), READ_BUFFER_BYTES);
            Member peer = exchangeHellos(socket, in);
            for (Message message = FrameCodec.read(socket, in, IDLE_TIMEOUT_MS);
                    message != null;
                    message = FrameCodec.read(socket, in, IDLE_TIMEOUT_MS)) {
                handler.received(peer, message);
            }
        } catch (IOException | RuntimeException e) {
            if (!isClosed() && !(e instanceof SocketTimeoutException || e instanceof SocketException)) {
                log.rateLimitedEvent("peer_dropped", e.getMessage());
            }
        } finally {
            synchronized (this) {
                inbound.remove(socket);
            }
        }
    }

    /** The peer, by its hello; throws IOException where it is rejected. */
    private Member exchangeHellos(Socket socket, InputStream in) throws IOException {
        if (!(FrameCodec.read(socket, in, HELLO_TIMEOUT_MS) instanceof Message.Hello theirs)) {
            throw new IOException("no hello");
        }
        Optional<String> rejection = theirs.version() == Message.VERSION
                ? handler.rejectionReason(theirs)
                : Optional.of("version " + theirs.version());
        Message answer = rejection.isPresent() ? new Message.HelloRejected(rejection.get()) : hello;
        socket.getOutputStream().write(FrameCodec.encode(answer));
        if (rejection.isPresent()) {
            throw new IOException(rejection.get() + ", " + theirs.sender().name() + " of " + theirs.fleet());
        }
        return theirs.sender();
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    Message.Hello hello() {
        return hello;
    }

    MessageHandler handler() {
        return handler;
    }

    FleetLog log() {
        return log;
    }

    void countSent(long bytes) {
        bytesSent.addAndGet(bytes);
        messagesSent.incrementAndGet();
    }

    /**
     * Returns how many bytes were sent.
     *
     * @return bytes since the start, frames' headers included
     */
    public long bytesSent() {
        return bytesSent.get();
    }

    /**
     * Returns how many messages were sent.
     *
     * @return messages since the start
     */
    public long messagesSent() {
        return messagesSent.get();
    }

    /** Removes an idle connection whose thread ends; false if a message was queued meanwhile. */
    synchronized boolean removeIfEmpty(OutboundConnection connection) {
        return connection.isEmpty() && outbound.remove(connection.address(), connection);
    }

    /** Ends all threads; messages queued so far get a short time to be written. */
    @Override
    public void close() {
        Set<Socket> sockets;
        synchronized (this) {
            closed = true;
            sockets = new HashSet<>(inbound);
            outbound.values().forEach(OutboundConnection::endSoon);
        }
        closeQuietly(listener);
        sockets.forEach(PeerConnections::closeQuietly);
    }

    static void closeQuietly(Closeable socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // it is gone either way
        }
    }
}
