package hopdrum.rig.faulty;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Sockets between the processes of a trial, which all run on one machine: of an address only its port counts. */
final class LoopbackSockets {
    private static final int BACKLOG = 256;

    private LoopbackSockets() {}

    /** Connects to the port of {@code address}, a host and a port. */
    static Socket connect(String address) throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), port(address));
    }

    /** Listens at the port of {@code address}, a host and a port. */
    static ServerSocket listen(String address) throws IOException {
        return new ServerSocket(port(address), BACKLOG, InetAddress.getLoopbackAddress());
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }
}
