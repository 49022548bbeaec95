package hopdrum.rig.trial;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A TCP proxy that emulates the network path to one backend or front door. Bytes arrive after a one-way delay, the
 * first bytes of a connection one round trip later still, as after a TCP handshake. A blocked path drops all bytes.
 */
final class DelayingProxy implements AutoCloseable {
    private static final int BACKLOG = 256;
    private static final int QUEUE_CAPACITY = 1_000;
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int DRAIN_MS = 2_000;
    private static final int BACKWARD_DRAIN_MS = 500;

    private final LoopbackListener listener;
    private final int targetPort;
    private volatile long delayUs;
    private volatile boolean blocked;

    /**
     * Starts a proxy without delay; it accepts connections at once.
     *
     * @param targetPort the loopback port that connections are forwarded to
     * @throws IOException if no port can be opened
     */
    DelayingProxy(int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.listener = new LoopbackListener(BACKLOG);
        listener.start("path", this::serve);
    }

    /** Returns the loopback port on which the proxy accepts connections. */
    int port() {
        return listener.port();
    }

    /** Sets the delay in each direction, in microseconds; it also applies to open connections. */
    void setDelay(long oneWayUs) {
        delayUs = oneWayUs;
    }

    /** Drops all bytes from now on, in both directions. */
    void block() {
        blocked = true;
    }

    /** Lets bytes pass again, and closes the open connections because bytes of theirs may be missing. */
    void unblock() {
        blocked = false;
        listener.closeConnections();
    }

    private void serve(Socket client) {
        try (client;
                Socket server = new Socket()) {
            listener.track(server);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            TimeUnit.MICROSECONDS.sleep(2 * delayUs);
            server.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort), CONNECT_TIMEOUT_MS);
            Thread backward = DaemonThreads.start("path-back", () -> pump(server, client));
            pump(client, server);
            backward.join(BACKWARD_DRAIN_MS);
        } catch (IOException e) {
            // One side has ended the connection; both sockets are closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            listener.untrack(client);
        }
    }

    private void pump(Socket from, Socket to) {
        BlockingQueue<TimedBytes> queue = new LinkedBlockingQueue<>(QUEUE_CAPACITY);
        Thread writer = DaemonThreads.start("path-out", () -> write(queue, to));
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                queue.put(TimedBytes.receivedNow(Arrays.copyOf(buffer, length)));
            }
            queue.put(TimedBytes.receivedNow(new byte[0])); // the end of the stream is delayed like its bytes
            writer.join(DRAIN_MS);
        } catch (IOException e) {
            Closeables.closeQuietly(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        listener.untrack(to);
    }

    private void write(BlockingQueue<TimedBytes> queue, Socket to) {
        try {
            OutputStream out = to.getOutputStream();
            for (TimedBytes chunk = queue.take(); chunk.length() > 0; chunk = queue.take()) {
                long remainingUs = chunk.receivedUs() + delayUs - EventJournal.nowUs();
                if (remainingUs > 0) {
                    TimeUnit.MICROSECONDS.sleep(remainingUs);
                }
                if (!blocked) {
                    out.write(chunk.bytes());
                }
            }
            Closeables.closeQuietly(to);
        } catch (IOException e) {
            Closeables.closeQuietly(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
