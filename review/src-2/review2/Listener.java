package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a free loopback port, with a thread for each connection. */
class Listener implements AutoCloseable {
    interface Handler {
        void handle(Socket socket) throws Exception;
    }

    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Listener(Handler handler) throws IOException {
        this.handler = handler;
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Threads.start("accept", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            Threads.start("serve", () -> {
                try (socket) {
                    handler.handle(socket);
                } finally {
                    sockets.remove(socket);
                }
            });
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
