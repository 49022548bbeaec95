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
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    /** Binds the port; up to so many connections wait to be accepted. */
    LoopbackListener(int backlog) throws IOException {
        listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
    }

    /**
     * Accepts connections from now on.
     *
     * @param name the accepting thread's name
     * @param connectionHandler serves one connection and returns at its end; called in a thread of the connection's own
     */
    void start(String name, Consumer<Socket> connectionHandler) {
        DaemonThreads.start(name, () -> accept(name, connectionHandler));
    }

    private void accept(String name, Consumer<Socket> connectionHandler) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                openSockets.add(socket);
                DaemonThreads.start(name + "-connection", () -> connectionHandler.accept(socket));
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
        openSockets.add(socket);
    }

    /** The end of an accepted or tracked connection. */
    void untrack(Socket socket) {
        openSockets.remove(socket);
    }

    void closeConnections() {
        openSockets.forEach(Closeables::closeQuietly);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        closeConnections();
    }
}
