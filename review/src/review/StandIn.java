package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in server on a free loopback port: a thread for each connection. */
abstract class StandIn implements AutoCloseable {
    private final ServerSocket listening = new ServerSocket();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    StandIn() throws IOException {
        listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
    }

    /** Accepts connections from now on. */
    final void start() {
        Rig.thread("accept " + address(), () -> {
            while (!listening.isClosed()) {
                try {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    Rig.thread("serve " + address(), () -> serveQuietly(socket));
                } catch (IOException e) {
                    // Closed, or the peer has gone before it was accepted.
                }
            }
        });
    }

    final String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    private void serveQuietly(Socket socket) {
        try (socket) {
            serve(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
        } catch (IOException | InterruptedException e) {
            // The peer has ended or reset the connection, or the stand-in is closed.
        } finally {
            open.remove(socket);
        }
    }

    /** Serves one connection; the connection is closed when this method returns. */
    abstract void serve(Socket socket, InputStream in, OutputStream out) throws IOException, InterruptedException;

    /** Accepts nothing more; open connections stay. */
    final void stopAccepting() throws IOException {
        listening.close();
    }

    final void closeConnections() {
        for (Socket socket : open) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed all the same.
            }
        }
    }

    @Override
    public void close() throws IOException {
        stopAccepting();
        closeConnections();
    }
}
