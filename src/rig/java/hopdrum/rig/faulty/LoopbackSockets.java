package hopdrum.rig.faulty;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Opens sockets between the processes of a trial. All of them run on one machine, so only the port of an address is
 * used.
 */
final class LoopbackSockets {
    private static final int BACKLOG = 256;

    private LoopbackSockets() {}

    /** Connects to the loopback interface at the port of {@code address}, which has the form {@code HOST:PORT}. */
    static Socket connect(String address) throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), port(address));
    }

    /** Listens on the loopback interface at the port of {@code address}, which has the form {@code HOST:PORT}. */
    static ServerSocket listen(String address) throws IOException {
        return new ServerSocket(port(address), BACKLOG, InetAddress.getLoopbackAddress());
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }
}
