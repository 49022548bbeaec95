package hopdrum.frontdoor;

import static hopdrum.frontdoor.FrontDoorFixture.field;
import static hopdrum.frontdoor.FrontDoorFixture.okResponse;
import static hopdrum.frontdoor.FrontDoorFixture.readMessage;
import static hopdrum.frontdoor.FrontDoorFixture.runInBackground;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A backend whose backlog is full, so that connections to it stay pending until {@link #acceptConnections()}. */
final class LateConnectingBackend implements AutoCloseable {
    final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    final List<Socket> backlogSockets = new ArrayList<>();
    final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    final BlockingQueue<Socket> connections = new LinkedBlockingQueue<>();

    LateConnectingBackend() throws IOException {
        for (int i = 0; i < 2; i++) {
            backlogSockets.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Starts accepting connections. A pending connection is established by its next SYN, about 1 s after the first. */
    void acceptConnections() throws IOException {
        for (Socket socket : backlogSockets) {
            listener.accept().close();
            socket.close();
        }
        runInBackground(() -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                runInBackground(() -> {
                    for (String request; (request = readMessage(socket.getInputStream())) != null; ) {
                        requests.add(request);
                        socket.getOutputStream()
                                .write(okResponse("for " + field(request, "X-Trace-Id"))
                                        .getBytes(StandardCharsets.ISO_8859_1));
                    }
                });
            }
        });
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : backlogSockets) {
            socket.close();
        }
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
