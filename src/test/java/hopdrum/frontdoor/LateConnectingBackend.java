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

/** A backend to which no connection comes up before it accepts any: its queue of connections is full. */
final class LateConnectingBackend implements AutoCloseable {
    final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    final List<Socket> inQueue = new ArrayList<>();
    final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    final BlockingQueue<Socket> connections = new LinkedBlockingQueue<>();

    LateConnectingBackend() throws IOException {
        for (int i = 0; i < 2; i++) {
            inQueue.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** From now on connections come up; pending ones with the next SYN, about a second after the first. */
    void acceptConnections() throws IOException {
        for (Socket socket : inQueue) {
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
        for (Socket socket : inQueue) {
            socket.close();
        }
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
