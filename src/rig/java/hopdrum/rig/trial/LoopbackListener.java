package hopdrum.rig.trial;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Accepts connections on a free loopback port until it is closed, and handles each in a thread of its own. */
public final class LoopbackListener implements AutoCloseable {
    private final ServerSocket listener;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    /**
     * Binds a free port.
     *
     * @param backlog the maximum number of connections that wait to be accepted
     * @throws IOException if no port can be bound
     */
    public LoopbackListener(int backlog) throws IOException {
        listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
    }

    /**
     * Starts accepting connections.
     *
     * @param name the name of the accepting thread
     * @param connectionHandler handles one connection until its end; called in a thread of that connection
     */
    public void start(String name, Consumer<Socket> connectionHandler) {
        DaemonThreads.start(name, () -> accept(name, connectionHandler));
    }

    private void accept(String name, Consumer<Socket> connectionHandler) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                openSockets.add(socket);
                DaemonThreads.start(name + "-connection", () -> connectionHandler.accept(socket));
            } catch (IOException e) {
                // After close() the loop ends. If file descriptors ran out, a later connection may be accepted.
            }
        }
    }

    /** Returns the bound port. */
    public int port() {
        return listener.getLocalPort();
    }

    boolean isClosed() {
        return listener.isClosed();
    }

    /**
     * Registers a connection opened on behalf of an accepted one, so that it is closed together with the accepted ones.
     */
    void track(Socket socket) {
        openSockets.add(socket);
    }

    /** Removes an accepted or tracked connection that has ended. */
    public void untrack(Socket socket) {
        openSockets.remove(socket);
    }

    /** Closes all open connections; further ones are accepted. */
    public void closeConnections() {
        openSockets.forEach(Closeables::closeQuietly);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        closeConnections();
    }
}
