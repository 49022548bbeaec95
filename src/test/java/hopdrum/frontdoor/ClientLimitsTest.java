package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import hopdrum.frontdoor.connection.ClientConnection;
import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Limits on clients: slow and silent ones, oversized messages, and the descriptors that they share. */
@Timeout(20)
class ClientLimitsTest extends FrontDoorFixture {
    @Test
    void aSlowSenderIsDisconnected() throws Exception {
        loop = new EventLoop();
        ClientListener clients = new ClientListener(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new ResourceBudget(1024, 1 << 20, 50_000),
                new ClientListener.RequestListener() {
                    @Override
                    public void requestReceived(ClientConnection client) {
                        throw new AssertionError("nothing came whole");
                    }

                    @Override
                    public void clientDisconnected(ClientConnection client) {
                        throw new AssertionError("nothing was taken");
                    }

                    @Override
                    public boolean isReady() {
                        return true;
                    }
                });
        clients.startAccepting();
        runInBackground(loop::run);
        try (Socket slow = new Socket()) {
            slow.connect(clients.address());
            slow.setSoTimeout(10_000);
            slow.getOutputStream().write("GET /health".getBytes(StandardCharsets.ISO_8859_1));
            assertThat(readMessage(slow.getInputStream())).startsWith("HTTP/1.1 408 ");
            assertThat(slow.getInputStream().read()).isEqualTo(-1);
        }
        loop.execute(loop::stop);
    }

    @Test
    void silentClientsAreEvictedForThoseWithRequestsAndClosedInTime() throws Exception {
        sockets = 32 + 9; // six of them for clients
        start();
        List<Client> silent = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            silent.add(new Client());
        }
        assertThat(exchange(request("t1", "order", ""))).endsWith("for t1");
        long fromNanos = System.nanoTime();
        for (Client client : silent) {
            assertThat(client.receive()).isNull();
        }
        assertThat(System.nanoTime() - fromNanos).isLessThan(3_000_000_000L);
    }

    @Test
    void aSenderAtFullSpeedIsRejectedAndDisconnected() throws Exception {
        start();
        Client flood = new Client().send(request("t", "order", "Content-Length: 60000000\r\n"));
        assertThatThrownBy(() -> {
                    for (int i = 0; i < 1000; i++) {
                        flood.send("x".repeat(60_000));
                    }
                })
                .isInstanceOf(IOException.class);
    }

    @Test
    void aSenderThatExpects100ContinueGetsIt() throws Exception {
        start();
        Client client = new Client().send(request("t1", "order", "Expect: 100-continue\r\nContent-Length: 2\r\n"));
        assertThat(client.receive()).startsWith("HTTP/1.1 100 ");
        assertThat(client.send("ab").receive()).endsWith("for t1");
    }

    @Test
    void anIdleClientIsEvictedForANewOne() throws Exception {
        sockets = 32 + 9; // six of them for clients
        backend.responder = request -> NO_RESPONSE;
        start();
        Client unread = new Client();
        Client taken = new Client().send(request("t1", "order", ""));
        assertThat(backend.nextRequest()).contains("t1");
        Client first = new Client();
        for (int i = 0; i < 4; i++) {
            Client next = i == 0 ? first : new Client();
            assertThat(next.send("GET /health/ready HTTP/1.1\r\n\r\n").receive())
                    .startsWith("HTTP/1.1 200 ");
        }
        assertThat(new Client().send("GET /health/ready HTTP/1.1\r\n\r\n").receive())
                .startsWith("HTTP/1.1 200 ");
        assertThat(unread.receive()).as("silent").isNull();
        assertThat(new Client().send("GET /health/ready HTTP/1.1\r\n\r\n").receive())
                .startsWith("HTTP/1.1 200 ");
        assertThat(first.receive()).as("idle longest").isNull();
        assertThat(taken.socket.getInputStream().available())
                .as("still waits for its response")
                .isZero();
    }

    @Test
    void idleClientsThatFillAllDescriptorsKeepNeitherDiscoveryNorARequestOut() throws Exception {
        sockets = 32 + 9; // six of them for clients
        StandIn second = new StandIn(request -> okResponse("second"));
        int port = discovery.listener.getLocalPort();
        shutDown(discovery);
        start();
        for (int i = 0; i < 20; i++) {
            closeAtEnd(new Client().socket);
        }
        String list = "{\"seq\":42,\"whole\":true,\"hosts\":[" + hostJson("c", second.address(), "in_service") + "]}\n";
        try (ServerSocket back = new ServerSocket(port, 50, InetAddress.getLoopbackAddress())) {
            runInBackground(() -> {
                while (true) {
                    Socket socket = back.accept();
                    readMessage(socket.getInputStream());
                    socket.getOutputStream().write((WATCH_HEAD + chunk(list)).getBytes(StandardCharsets.ISO_8859_1));
                }
            });
            String response = exchange(request("t1", "order", ""));
            assertThat(response).endsWith("second");
        }
    }
}
