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
 * The peer connections of one member. Messages are sent on outbound connections, one to each address with messages to
 * send, and received on inbound connections, which peers open. Each connection has a thread of its own, which this
 * class starts and ends. Thread-safe.
 */
public final class PeerConnections implements AutoCloseable {
    /** Handles the hellos and messages of peers. Called concurrently by the threads of the connections. */
    public interface MessageHandler {
        /**
         * Decides whether to admit a peer that has connected.
         *
         * @param hello the peer's first message
         * @return why the peer is rejected, which the peer is told; empty to admit the peer
         */
        Optional<String> rejectionReason(Message.Hello hello);

        /**
         * Handles a message from an admitted peer.
         *
         * @param from the sender, as its hello names it
         * @param message the message
         */
        void messageReceived(Member from, Message message);

        /**
         * Called when a peer has rejected this member's hello.
         *
         * @param address the peer's address
         * @param reason the reason that the peer gave
         */
        void rejectedByPeer(String address, String reason);
    }

    private static final int MAX_INBOUND_CONNECTIONS = 2_000;
    private static final int ACCEPT_BACKLOG = 256;
    private static final int HELLO_TIMEOUT_MS = 3_000;
    private static final int IDLE_TIMEOUT_MS = 120_000;
    private static final long WRITE_TIMEOUT_US = 3_000_000;
    private static final int READ_BUFFER_BYTES = 16 << 10;
    private static final int STACK_BYTES = 256 << 10; // small, because there are many threads, none with a deep stack

    private final MessageHandler handler;
    private final FleetLog log;
    private final Message.Hello ownHello;
    private final ServerSocket listener;
    private final SplittableRandom random;
    private final Map<String, OutboundConnection> outbound = new HashMap<>(); // by address; removed when idle
    private final Set<Socket> inbound = new HashSet<>(); // removed when its thread ends; bounded
    private final AtomicLong bytesSent = new AtomicLong();
    private final AtomicLong messagesSent = new AtomicLong();
    private boolean closed;

    /**
     * Binds the address to listen on; {@link #start} begins to accept connections.
     *
     * @param listenAddress the address to listen on
     * @param ownHello this member's first message on each connection
     * @param random the source of the jitter in the backoff before reconnecting
     * @param handler handles the hellos and messages of peers
     * @param log the log for failures of connections
     * @throws IOException if the address cannot be bound
     */
    public PeerConnections(
            InetSocketAddress listenAddress,
            Message.Hello ownHello,
            SplittableRandom random,
            MessageHandler handler,
            FleetLog log)
            throws IOException {
        this.handler = handler;
        this.log = log;
        this.ownHello = ownHello;
        this.random = random;
        this.listener = new ServerSocket();
        try {
            listener.setReuseAddress(true);
            listener.bind(listenAddress, ACCEPT_BACKLOG);
        } catch (IOException | RuntimeException e) {
            listener.close();
            throw e;
        }
    }

    /** Starts to accept connections. Must be called only once. */
    public void start() {
        newThread("fleet-accept", this::acceptConnections).start();
    }

    private static Thread newThread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Queues a message to an address; does not block. A full queue drops its oldest message.
     *
     * @param address the peer's numeric address and port
     * @param message the message to send
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
        connection.enqueue(message);
    }

    /**
     * Closes outbound connections whose peer does not read, so that a write has been blocked for more than 3 s.
     *
     * @param nowUs the time of the machine's monotonic clock, microseconds
     */
    public synchronized void closeStalledConnections(long nowUs) {
        for (OutboundConnection connection : outbound.values()) {
            connection.closeIfStalledSince(nowUs - WRITE_TIMEOUT_US);
        }
    }

    private void acceptConnections() {
        while (true) {
            try {
                Socket socket = listener.accept();
                synchronized (this) {
                    if (closed || inbound.size() >= MAX_INBOUND_CONNECTIONS) {
                        socket.close();
                        continue;
                    }
                    inbound.add(socket);
                }
                newThread("fleet-in-" + socket.getPort(), () -> serveInbound(socket))
                        .start();
            } catch (IOException e) {
                if (listener.isClosed()) {
                    return;
                }
                log.rateLimitedEvent("accept_failed", e.getMessage());
            }
        }
    }

    /** Serves one inbound connection until it ends. */
    private void serveInbound(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), READ_BUFFER_BYTES);
            Member peer = exchangeHellos(socket, in);
            for (Message message = FrameCodec.read(socket, in, IDLE_TIMEOUT_MS);
                    message != null;
                    message = FrameCodec.read(socket, in, IDLE_TIMEOUT_MS)) {
                handler.messageReceived(peer, message);
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

    /** Reads and answers the peer's hello and returns the peer; throws IOException if the peer is rejected. */
    private Member exchangeHellos(Socket socket, InputStream in) throws IOException {
        if (!(FrameCodec.read(socket, in, HELLO_TIMEOUT_MS) instanceof Message.Hello peerHello)) {
            throw new IOException("the first message is not a hello");
        }
        Optional<String> rejection = peerHello.version() == Message.VERSION
                ? handler.rejectionReason(peerHello)
                : Optional.of("version " + peerHello.version());
        Message answer = rejection.isPresent() ? new Message.HelloRejected(rejection.get()) : ownHello;
        socket.getOutputStream().write(FrameCodec.encode(answer));
        if (rejection.isPresent()) {
            throw new IOException(rejection.get() + ": rejected the hello of "
                    + peerHello.sender().name() + " of the fleet " + peerHello.fleet());
        }
        return peerHello.sender();
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    Message.Hello ownHello() {
        return ownHello;
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
     * Returns the number of bytes sent.
     *
     * @return bytes since the start on outbound connections, including the length fields of frames
     */
    public long bytesSent() {
        return bytesSent.get();
    }

    /**
     * Returns the number of messages sent.
     *
     * @return messages since the start on outbound connections, including hellos
     */
    public long messagesSent() {
        return messagesSent.get();
    }

    /** Removes an idle connection, whose thread then ends; returns false if a message has been queued meanwhile. */
    synchronized boolean removeIfIdle(OutboundConnection connection) {
        return connection.isQueueEmpty() && outbound.remove(connection.address(), connection);
    }

    /**
     * Closes the listening socket and the inbound connections, and makes all threads end. Established outbound
     * connections first write their queued messages; this method does not wait for that.
     */
    @Override
    public void close() {
        Set<Socket> sockets;
        synchronized (this) {
            closed = true;
            sockets = new HashSet<>(inbound);
            outbound.values().forEach(OutboundConnection::endWhenQueueEmpty);
        }
        closeQuietly(listener);
        sockets.forEach(PeerConnections::closeQuietly);
    }

    static void closeQuietly(Closeable socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // the socket is of no further use, whether or not closing it succeeded
        }
    }
}
