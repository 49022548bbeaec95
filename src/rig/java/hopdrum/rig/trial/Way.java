package hopdrum.rig.trial;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The way from one door to one backend: bytes pass after a delay, a connection's first ones after a round trip more. */
final class Way implements AutoCloseable {
    private static final int MOST_QUEUED = 1_000;

    private record Piece(byte[] bytes, long atUs) {}

    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final int target;
    private volatile long delayUs;
    private volatile boolean lost;

    Way(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Threads.start("way", () -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    open.add(socket);
                    Threads.start("way-connection", () -> serve(socket));
                } catch (IOException e) {
                    // closed: the loop ends
                }
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    void delay(long us) {
        delayUs = us;
    }

    /** Nothing gets through while it is lost; connections of before are reset once it is back. */
    void lost(boolean now) {
        lost = now;
        if (!now) {
            open.forEach(Quiet::close);
        }
    }

    private void serve(Socket from) {
        try (from;
                Socket to = new Socket()) {
            open.add(to);
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            TimeUnit.MICROSECONDS.sleep(2 * delayUs);
            to.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target), 1_000);
            Thread back = Threads.start("way-back", () -> pump(to, from));
            pump(from, to);
            back.join(500);
        } catch (IOException e) {
            // one side has ended
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(from);
        }
    }

    private void pump(Socket from, Socket to) {
        LinkedBlockingQueue<Piece> queue = new LinkedBlockingQueue<>(MOST_QUEUED);
        Thread writer = Threads.start("way-out", () -> write(queue, to));
        byte[] bytes = new byte[16 << 10];
        try {
            InputStream in = from.getInputStream();
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                queue.put(new Piece(java.util.Arrays.copyOf(bytes, n), Journal.nowUs()));
            }
            queue.put(new Piece(new byte[0], Journal.nowUs())); // the end takes as long as the rest
            writer.join(2_000);
        } catch (IOException e) {
            Quiet.close(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        open.remove(to);
    }

    private void write(LinkedBlockingQueue<Piece> queue, Socket to) {
        try {
            OutputStream out = to.getOutputStream();
            for (Piece p = queue.take(); p.bytes.length > 0; p = queue.take()) {
                long leftUs = p.atUs + delayUs - Journal.nowUs();
                if (leftUs > 0) {
                    TimeUnit.MICROSECONDS.sleep(leftUs);
                }
                if (!lost) {
                    out.write(p.bytes);
                }
            }
            Quiet.close(to);
        } catch (IOException e) {
            Quiet.close(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        open.forEach(Quiet::close);
    }
}
