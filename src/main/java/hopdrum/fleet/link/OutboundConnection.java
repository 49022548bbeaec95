package hopdrum.fleet.link;

import hopdrum.fleet.message.Message;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * The task that sends messages to one address. It connects, exchanges hellos and writes the queued messages; after a
 * failure it reconnects with exponential backoff and jitter. The task ends when no message has been queued for an idle
 * time. {@link #run} occupies a thread of its own; other methods may be called from any thread.
 */
final class OutboundConnection implements Runnable {
    private static final int MAX_QUEUED_MESSAGES = 256; // the oldest is dropped, because later ones have newer state
    private static final long MAX_QUEUED_US = 2_000_000; // later than this, a message is no longer useful
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int HELLO_BUFFER_BYTES = 1 << 10;
    private static final long IDLE_US = 60_000_000;
    private static final long MIN_BACKOFF_MS = 50;
    private static final long MAX_BACKOFF_MS = 1_000;

    private record QueuedMessage(Message message, long queuedAtUs) {}

    private final PeerConnections connections;
    private final String address;
    private final SplittableRandom random;
    private final Deque<QueuedMessage> queue = new ArrayDeque<>(); // bounded by MAX_QUEUED_MESSAGES
    private Socket socket; // null while not connected
    private long writingSinceUs; // 0 while not writing
    private boolean ending;

    OutboundConnection(PeerConnections connections, String address, SplittableRandom random) {
        this.connections = connections;
        this.address = address;
        this.random = random;
    }

    String address() {
        return address;
    }

    /** Queues a message, and drops the oldest one if the queue is full; does not block. */
    synchronized void enqueue(Message message) {
        if (queue.size() == MAX_QUEUED_MESSAGES) {
            queue.poll();
            connections.log().rateLimitedEvent("queue_full", address);
        }
        queue.add(new QueuedMessage(message, nowUs()));
        notifyAll();
    }

    synchronized boolean isQueueEmpty() {
        return queue.isEmpty();
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    @Override
    public void run() {
        long backoffMs = MIN_BACKOFF_MS;
        while (awaitMessage()) {
            try {
                connect();
                backoffMs = MIN_BACKOFF_MS;
                for (Message message = takeMessage(); message != null; message = takeMessage()) {
                    write(message);
                }
                disconnect();
            } catch (IOException e) {
                disconnect();
                connections.log().rateLimitedEvent("link_down", address + ": " + e.getMessage());
                if (!pause(backoffMs / 2 + random.nextLong(backoffMs))) {
                    return;
                }
                backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
            }
        }
    }

    /** Waits until a message is queued; returns false if this connection is to end. */
    private boolean awaitMessage() {
        synchronized (this) {
            awaitUntil(nowUs() + IDLE_US, () -> !queue.isEmpty());
            if (!queue.isEmpty() && !ending) {
                return true;
            }
        }
        return !connections.removeIfIdle(this) && !isEnding();
    }

    private synchronized boolean isEnding() {
        return ending;
    }

    /** Waits for the given time, milliseconds; returns false if this connection is to end. */
    private synchronized boolean pause(long ms) {
        awaitUntil(nowUs() + ms * 1000, () -> false);
        return !ending;
    }

    /** Waits until the condition holds, this connection is to end or the deadline has passed. */
    private synchronized void awaitUntil(long deadlineUs, BooleanSupplier condition) {
        try {
            while (!condition.getAsBoolean() && !ending && nowUs() < deadlineUs) {
                wait(Math.max(1, (deadlineUs - nowUs()) / 1000));
            }
        } catch (InterruptedException e) {
            ending = true;
            Thread.currentThread().interrupt();
        }
    }

    private void connect() throws IOException {
        int colon = address.lastIndexOf(':');
        Socket newSocket = new Socket();
        synchronized (this) {
            socket = newSocket;
        }
        newSocket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                CONNECT_TIMEOUT_MS);
        newSocket.setTcpNoDelay(true);
        write(connections.ownHello());
        Message answer = FrameCodec.read(
                newSocket, new BufferedInputStream(newSocket.getInputStream(), HELLO_BUFFER_BYTES), CONNECT_TIMEOUT_MS);
        if (answer instanceof Message.HelloRejected rejected) {
            connections.handler().rejectedByPeer(address, rejected.reason());
            throw new IOException("rejected: " + rejected.reason());
        }
        if (!(answer instanceof Message.Hello peerHello)
                || peerHello.version() != Message.VERSION
                || !peerHello.fleet().equals(connections.ownHello().fleet())) {
            throw new IOException("the answer is not a hello of this fleet and protocol version");
        }
    }

    /**
     * Takes the next message from the queue and drops those that have been queued for too long. Returns null if the
     * queue has been empty for the idle time, or if the queue is empty and this connection is to end.
     */
    private synchronized Message takeMessage() {
        long idleEndUs = nowUs() + IDLE_US;
        while (true) {
            QueuedMessage first = queue.poll();
            if (first == null) {
                if (ending || nowUs() >= idleEndUs) {
                    return null;
                }
                awaitUntil(idleEndUs, () -> !queue.isEmpty());
            } else if (nowUs() - first.queuedAtUs < MAX_QUEUED_US) {
                return first.message;
            }
        }
    }

    private void write(Message message) throws IOException {
        byte[] frame = FrameCodec.encode(message);
        Socket current;
        synchronized (this) {
            writingSinceUs = nowUs();
            current = socket;
        }
        if (current == null) {
            throw new IOException("cut");
        }
        current.getOutputStream().write(frame);
        connections.countSent(frame.length);
        synchronized (this) {
            writingSinceUs = 0;
        }
    }

    /** Disconnects if a write that began before the given time, microseconds, is still blocked. */
    synchronized void closeIfStalledSince(long sinceUs) {
        if (writingSinceUs != 0 && writingSinceUs < sinceUs) {
            connections.log().rateLimitedEvent("peer_cut", address + " has stopped reading, disconnecting");
            disconnect();
        }
    }

    /** Makes the task end; a connected task first writes the queued messages. */
    synchronized void endWhenQueueEmpty() {
        ending = true;
        notifyAll();
    }

    private synchronized void disconnect() {
        writingSinceUs = 0;
        if (socket != null) {
            PeerConnections.closeQuietly(socket);
            socket = null;
        }
    }
}
