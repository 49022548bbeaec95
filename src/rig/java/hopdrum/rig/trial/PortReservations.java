package hopdrum.rig.trial;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Free loopback ports, held until the process that they are for starts: guards against another process taking one meanwhile.
 * They are below the ephemeral ports, which connections are given on their way out. Confined to one thread.
 */
final class PortReservations implements AutoCloseable {
    private static final int MIN_PORT = 12_000;
    private static final int PORT_COUNT = 20_000;
    private static final int MAX_ATTEMPTS = 1_000;

    private final SplittableRandom random =
            new SplittableRandom(System.nanoTime() ^ ProcessHandle.current().pid());
    private final Map<Integer, ServerSocket> reserved = new HashMap<>();

    int reserve() throws IOException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int port = MIN_PORT + random.nextInt(PORT_COUNT);
            try {
                reserved.put(port, new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
                return port;
            } catch (BindException e) {
                // another's: try the next
            }
        }
        throw new IOException("no free port after " + MAX_ATTEMPTS + " attempts");
    }

    /** Gives a port up to the process that it was reserved for. */
    void release(int port) throws IOException {
        ServerSocket socket = reserved.remove(port);
        if (socket != null) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket socket : reserved.values()) {
            socket.close();
        }
    }
}
