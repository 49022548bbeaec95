package hopdrum.fleet.link;

import hopdrum.fleet.message.Codec;
import hopdrum.fleet.message.Message;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * The task that writes to one address: connect, hello, write what is queued, and after a failure back off and start
 * again. It ends when it has had nothing to write for a while.
 */
final class OutboundConnection implements Runnable {
    private static final int MOST_QUEUED = 256; // the oldest goes first: later ones say more
    private static final long STALE_US = 2_000_000; // older ones answer nothing any more
    private static final int CONNECT_MS = 1_000;
    private static final long IDLE_MS = 60_000;
    private static final long FIRST_BACK_OFF_MS = 50;
    private static final long LAST_BACK_OFF_MS = 1_000;

    private record Queued(Message message, long atUs) {}

    private final PeerConnections links;
    private final String address;
    private final SplittableRandom random;
    private final Deque<Queued> queue = new ArrayDeque<>(); // emptied by the writer, by age and by its bound
    private Socket socket;
    private long writingSinceUs;
    private boolean ending;

    OutboundConnection(PeerConnections links, String address, SplittableRandom random) {
        this.links = links;
        this.address = address;
        this.random = random;
    }

    String address() {
        return address;
    }

    synchronized void offer(Message message) {
        if (queue.size() == MOST_QUEUED) {
            queue.poll();
            links.log().limited("queue_full", address);
        }
        queue.add(new Queued(message, nowUs()));
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
        long backOffMs = FIRST_BACK_OFF_MS;
        while (true) {
            try {
                if (!waitForWork()) {
                    return;
                }
                connect();
                backOffMs = FIRST_BACK_OFF_MS;
                for (Message message = next(); message != null; message = next()) {
                    write(message);
                }
                close();
            } catch (IOException e) {
                close();
                links.log().limited("link_down", address + ": " + e.getMessage());
                if (!pause(backOffMs / 2 + random.nextLong(backOffMs))) {
                    return;
                }
                backOffMs = Math.min(LAST_BACK_OFF_MS, backOffMs * 2);
            }
        }
    }

    /** False once there is nothing more to do. */
    private boolean waitForWork() {
        synchronized (this) {
            long endMs = nowUs() / 1000 + IDLE_MS;
            while (queue.isEmpty() && !ending && nowUs() / 1000 < endMs) {
                await(Math.max(1, endMs - nowUs() / 1000));
            }
            if (!queue.isEmpty() && !ending) {
                return true;
            }
        }
        return !links.removeIfEmpty(this) && !isEnding();
    }

    private synchronized boolean isEnding() {
        return ending;
    }

    private boolean pause(long ms) {
        synchronized (this) {
            long endUs = nowUs() + ms * 1000;
            while (!ending && nowUs() < endUs) {
                await(Math.max(1, (endUs - nowUs()) / 1000));
            }
            return !ending;
        }
    }

    private void await(long ms) {
        try {
            wait(ms);
        } catch (InterruptedException e) {
            ending = true;
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
                CONNECT_MS);
        fresh.setTcpNoDelay(true);
        write(links.hello());
        Message answer = FrameCodec.read(fresh, new BufferedInputStream(fresh.getInputStream(), 1 << 10), CONNECT_MS);
        if (answer instanceof Message.Rejected down) {
            links.owner().turnedDown(address, down.why());
            throw new IOException("turned down: " + down.why());
        }
        if (!(answer instanceof Message.Hello theirs)
                || theirs.version() != Message.VERSION
                || !theirs.fleet().equals(links.hello().fleet())) {
            throw new IOException("no hello of this fleet");
        }
    }

    /** Null when there has been nothing to write for a while, or the link ends. */
    private synchronized Message next() {
        long endUs = nowUs() + IDLE_MS * 1000;
        while (true) {
            Queued first = queue.poll();
            if (first != null && nowUs() - first.atUs < STALE_US) {
                return first.message;
            }
            if (first == null && (ending || nowUs() >= endUs)) {
                return null;
            }
            if (first == null) {
                await(Math.max(1, (endUs - nowUs()) / 1000));
            }
        }
    }

    private void write(Message message) throws IOException {
        byte[] body = Codec.bytes(message);
        Socket to;
        synchronized (this) {
            writingSinceUs = nowUs();
            to = socket;
        }
        if (to == null) {
            throw new IOException("cut");
        }
        to.getOutputStream()
                .write(ByteBuffer.allocate(4 + body.length)
                        .putInt(body.length)
                        .put(body)
                        .array());
        links.wrote(4 + body.length);
        synchronized (this) {
            writingSinceUs = 0;
        }
    }

    synchronized void cutIfStalledSince(long sinceUs) {
        if (writingSinceUs != 0 && writingSinceUs < sinceUs) {
            links.log().limited("peer_cut", address + " does not read");
            close();
        }
    }

    synchronized void endSoon() {
        ending = true;
        notifyAll();
    }

    private synchronized void close() {
        writingSinceUs = 0;
        if (socket != null) {
            PeerConnections.closeQuietly(socket);
            socket = null;
        }
    }
}
