package hopdrum.fleet.link;

import hopdrum.fleet.FleetLog;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The connections of one member: it writes on those that it opened, one to each address that it has something for, and
 * reads on those that others opened. One thread for each; this class starts and ends them all.
 */
public final class PeerConnections implements AutoCloseable {
    /** Who is told what peers say. */
    public interface MessageHandler {
        /** Null if the peer may speak, else why not. */
        String objection(Message.Hello hello);

        /** From one whose hello was taken. */
        void heard(Member from, Message message);

        /** The peer at this address does not take us, and says why. */
        void turnedDown(String address, String why);
    }

    private static final int MOST_INBOUND = 2_000;
    private static final int HELLO_MS = 3_000;
    private static final int IDLE_MS = 120_000;
    private static final long STALLED_US = 3_000_000;

    private final MessageHandler owner;
    private final FleetLog log;
    private final Message.Hello hello;
    private final ServerSocket listener;
    private final SplittableRandom random;
    private final Map<String, OutboundConnection> out = new HashMap<>(); // one goes as its thread ends, idle or told to
    private final Set<Socket> in = new HashSet<>(); // one goes as its thread ends
    private final AtomicLong bytesOut = new AtomicLong();
    private final AtomicLong messagesOut = new AtomicLong();
    private boolean closed;

    /** Listens from here on, but takes nobody before start(). */
    public PeerConnections(
            InetSocketAddress listen, Message.Hello hello, SplittableRandom random, MessageHandler owner, FleetLog log)
            throws IOException {
        this.owner = owner;
        this.log = log;
        this.hello = hello;
        this.random = random;
        this.listener = new ServerSocket();
        try {
            listener.setReuseAddress(true);
            listener.bind(listen, 256);
        } catch (IOException | RuntimeException e) {
            listener.close();
            throw e;
        }
    }

    public void start() {
        thread("fleet-accept", this::accept).start();
    }

    static Thread thread(String name, Runnable what) {
        Thread thread = new Thread(null, what, name, 256 << 10);
        thread.setDaemon(true);
        return thread;
    }

    /** Never waits: the message goes to a bounded queue, where the oldest makes room. */
    public void send(String address, Message message) {
        synchronized (this) {
            if (closed) {
                return;
            }
            OutboundConnection link = out.get(address);
            if (link == null) {
                link = new OutboundConnection(this, address, random.split());
                out.put(address, link);
                thread("fleet-out-" + address, link).start();
            }
            link.offer(message);
        }
    }

    /** Cuts connections whose peer does not read: a write that has not come through for 3 s. */
    public synchronized void cutStalled(long nowUs) {
        for (OutboundConnection link : out.values()) {
            link.cutIfStalledSince(nowUs - STALLED_US);
        }
    }

    private void accept() {
        while (true) {
            Socket socket = null;
            try {
                socket = listener.accept();
                synchronized (this) {
                    if (closed || in.size() >= MOST_INBOUND) {
                        socket.close();
                        continue;
                    }
                    in.add(socket);
                }
                Socket taken = socket;
                thread("fleet-in-" + socket.getPort(), () -> serve(taken)).start();
            } catch (IOException e) {
                if (listener.isClosed()) {
                    return;
                }
                log.limited("accept_failed", e.getMessage());
            }
        }
    }

    /** One connection that a peer opened, from its hello to its end. */
    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream from = new BufferedInputStream(socket.getInputStream(), 16 << 10);
            if (!(FrameCodec.read(socket, from, HELLO_MS) instanceof Message.Hello theirs)) {
                throw new IOException("no hello");
            }
            String why = theirs.version() != Message.VERSION ? "version " + theirs.version() : owner.objection(theirs);
            FrameCodec.write(socket.getOutputStream(), why == null ? hello : new Message.Rejected(why));
            if (why != null) {
                throw new IOException(why + ", " + theirs.who().name() + " of " + theirs.fleet());
            }
            for (Message m = FrameCodec.read(socket, from, IDLE_MS);
                    m != null;
                    m = FrameCodec.read(socket, from, IDLE_MS)) {
                owner.heard(theirs.who(), m);
            }
        } catch (IOException | RuntimeException e) {
            if (!isClosed()
                    && !(e instanceof java.net.SocketTimeoutException || e instanceof java.net.SocketException)) {
                log.limited("peer_dropped", e.getMessage());
            }
        } finally {
            synchronized (this) {
                in.remove(socket);
            }
        }
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    Message.Hello hello() {
        return hello;
    }

    MessageHandler owner() {
        return owner;
    }

    FleetLog log() {
        return log;
    }

    void wrote(long bytes) {
        bytesOut.addAndGet(bytes);
        messagesOut.incrementAndGet();
    }

    public long bytesOut() {
        return bytesOut.get();
    }

    public long messagesOut() {
        return messagesOut.get();
    }

    /** The idle end of a link's thread: false if something came in meanwhile. */
    synchronized boolean removeIfEmpty(OutboundConnection link) {
        return link.isEmpty() && out.remove(link.address(), link);
    }

    /** Ends all threads; what has been queued by now is given a moment to go out. */
    @Override
    public void close() {
        Set<Socket> sockets;
        synchronized (this) {
            closed = true;
            sockets = new HashSet<>(in);
            out.values().forEach(OutboundConnection::endSoon);
        }
        closeQuietly(listener);
        sockets.forEach(PeerConnections::closeQuietly);
    }

    static void closeQuietly(java.io.Closeable socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // it is gone either way
        }
    }
}
