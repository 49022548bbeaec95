package hopdrum.rig.trial;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Accepts connections on a free loopback port and serves each in a thread of its own, until it is closed. */
final class LoopbackListener implements AutoCloseable {
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** Binds the port; up to so many connections wait to be accepted. */
    LoopbackListener(int backlog) throws IOException {
        listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
    }

    /**
     * Accepts connections from now on.
     *
     * @param name the accepting thread's name
     * @param server serves one connection and returns at its end; called in a thread of the connection's own
     */
    void start(String name, Consumer<Socket> server) {
        DaemonThreads.start(name, () -> accept(name, server));
    }

    private void accept(String name, Consumer<Socket> server) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                DaemonThreads.start(name + "-connection", () -> server.accept(socket));
            } catch (IOException e) {
                // Closed: the loop ends. Out of descriptors for the moment: the next one may be accepted.
            }
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    boolean isClosed() {
        return listener.isClosed();
    }

    /** Has a further connection, opened on behalf of an accepted one, closed together with the others. */
    void track(Socket socket) {
        open.add(socket);
    }

    /** The end of an accepted or tracked connection. */
    void forget(Socket socket) {
        open.remove(socket);
    }

    void closeConnections() {
        open.forEach(Closeables::closeQuietly);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        closeConnections();
    }
}
