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
 * The task that writes to one address: connect, exchange hellos, write what is queued, and after a failure reconnect with
 * exponential backoff and jitter. It ends after an idle time with nothing to write. Runs on its own thread; other
 * methods may be called from any thread.
 */
final class OutboundConnection implements Runnable {
    private static final int MAX_QUEUED = 256; // the oldest is dropped, since later ones have newer state
    private static final long MAX_QUEUED_US = 2_000_000; // older ones arrive too late to be useful
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int HELLO_BUFFER_BYTES = 1 << 10;
    private static final long IDLE_US = 60_000_000;
    private static final long MIN_BACKOFF_MS = 50;
    private static final long MAX_BACKOFF_MS = 1_000;

    private record QueuedMessage(Message message, long queuedAtUs) {}

    private final PeerConnections connections;
    private final String address;
    private final SplittableRandom random;
    private final Deque<QueuedMessage> queue = new ArrayDeque<>(); // bounded by MAX_QUEUED
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

    /** Queues a message; never waits. */
    synchronized void offer(Message message) {
        if (queue.size() == MAX_QUEUED) {
            queue.poll();
            connections.log().rateLimitedEvent("queue_full", address);
        }
        queue.add(new QueuedMessage(message, nowUs()));
        notifyAll();
    }

    synchronized boolean isEmpty() {
        return queue.isEmpty();
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    @Override
    public void run() {
        long backoffMs = MIN_BACKOFF_MS;
        while (awaitWork()) {
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

    /** Waits for a message; false once this connection is to end. */
    private boolean awaitWork() {
        synchronized (this) {
            awaitUntil(nowUs() + IDLE_US, () -> !queue.isEmpty());
            if (!queue.isEmpty() && !ending) {
                return true;
            }
        }
        return !connections.removeIfEmpty(this) && !isEnding();
    }

    private synchronized boolean isEnding() {
        return ending;
    }

    /** Waits so long; false where this connection is to end. */
    private synchronized boolean pause(long ms) {
        awaitUntil(nowUs() + ms * 1000, () -> false);
        return !ending;
    }

    /** Waits, under this object's lock, until the condition holds, this connection is to end or the time is up. */
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
        Socket fresh = new Socket();
        synchronized (this) {
            socket = fresh;
        }
        fresh.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                CONNECT_TIMEOUT_MS);
        fresh.setTcpNoDelay(true);
        write(connections.hello());
        Message answer = FrameCodec.read(
                fresh, new BufferedInputStream(fresh.getInputStream(), HELLO_BUFFER_BYTES), CONNECT_TIMEOUT_MS);
        if (answer instanceof Message.HelloRejected rejected) {
            connections.handler().rejectedBy(address, rejected.reason());
            throw new IOException("rejected: " + rejected.reason());
        }
        if (!(answer instanceof Message.Hello theirs)
                || theirs.version() != Message.VERSION
                || !theirs.fleet().equals(connections.hello().fleet())) {
            throw new IOException("no hello of this fleet");
        }
    }

    /** Null when there has been nothing to write for a while, or this connection is to end. */
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

    /** Disconnects where a write has not come through since before that time. */
    synchronized void cutIfStalledSince(long sinceUs) {
        if (writingSinceUs != 0 && writingSinceUs < sinceUs) {
            connections.log().rateLimitedEvent("peer_cut", address + " does not read");
            disconnect();
        }
    }

    /** Ends the task once what is queued by now has been written. */
    synchronized void endSoon() {
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
