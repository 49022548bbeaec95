package hopdrum.rig.trial;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Reserves free loopback ports by binding them until the process that needs them starts, so that no other process takes
 * them meanwhile. The ports are below the ephemeral range, from which outgoing connections get their ports. Confined to
 * one thread.
 */
final class PortReservations implements AutoCloseable {
    private static final int MIN_PORT = 12_000;
    private static final int PORT_COUNT = 20_000;
    private static final int MAX_ATTEMPTS = 1_000;

    private final SplittableRandom random =
            new SplittableRandom(System.nanoTime() ^ ProcessHandle.current().pid());
    private final Map<Integer, ServerSocket> reserved = new HashMap<>();

    /**
     * Reserves a free port.
     *
     * @throws IOException if no free port was found in 1000 attempts
     */
    int reserve() throws IOException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int port = MIN_PORT + random.nextInt(PORT_COUNT);
            try {
                reserved.put(port, new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
                return port;
            } catch (BindException e) {
                // The port is in use: try another one.
            }
        }
        throw new IOException("found no free port in " + MAX_ATTEMPTS + " attempts");
    }

    /** Releases a port so that the process for which it was reserved can bind it. */
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
