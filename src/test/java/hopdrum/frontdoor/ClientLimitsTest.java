package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import hopdrum.frontdoor.connection.ClientCloseReason;
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

/**
 * Limits on clients: slow senders, silent and idle connections, oversized messages, and the limit on open sockets. None
 * of these may keep other clients from being served.
 */
@Timeout(20)
class ClientLimitsTest extends FrontDoorFixture {
    /** Expects clients that never complete a request and leave by themselves. */
    private static final class NoRequests implements ClientListener.RequestListener {
        @Override
        public void requestReceived(ClientConnection client) {
            throw new AssertionError("no complete request was sent");
        }

        @Override
        public long maxDeferralUs(ClientConnection client) {
            throw new AssertionError("no complete request was sent");
        }

        @Override
        public void clientDisconnected(ClientConnection client) {
            throw new AssertionError("no request was accepted");
        }

        @Override
        public void excessRequestRejected() {
            throw new AssertionError("no request was pipelined");
        }

        @Override
        public void connectionClosed(ClientCloseReason reason) {
            assertThat(reason).isEqualTo(ClientCloseReason.CLIENT_CLOSED);
        }

        @Override
        public boolean isReady() {
            return true;
        }
    }

    @Test
    void aSlowSenderIsDisconnected() throws Exception {
        loop = new EventLoop();
        ClientListener clients = new ClientListener(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new ResourceBudget(1024, 1 << 20, 50_000),
                new NoRequests());
        clients.startAccepting();
        runInBackground(loop::run);
        try (Socket slowSender = new Socket()) {
            slowSender.connect(clients.address());
            slowSender.setSoTimeout(10_000);
            slowSender.getOutputStream().write("GET /health".getBytes(StandardCharsets.ISO_8859_1));
            assertThat(readMessage(slowSender.getInputStream())).startsWith("HTTP/1.1 408 ");
            assertThat(slowSender.getInputStream().read()).isEqualTo(-1);
        }
        loop.execute(loop::stop);
    }

    @Test
    void silentClientsAreEvictedForClientsWithRequestsAndDisconnectedInTime() throws Exception {
        sockets = 32 + 9; // leaves six sockets for clients
        start();
        List<Client> silent = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            silent.add(new Client());
        }
        assertThat(exchange(request("t1", "order", ""))).endsWith("for t1");
        long startNanos = System.nanoTime();
        for (Client client : silent) {
            assertThat(client.receive()).isNull();
        }
        assertThat(System.nanoTime() - startNanos).isLessThan(3_000_000_000L);
    }

    /** Guards against usual requests that wait in the kernel while half-written requests hold all descriptors. */
    @Test
    void halfWrittenRequestsGiveWayToARequestOnceTheirClientsStall() throws Exception {
        sockets = 32 + 9; // leaves six sockets for clients
        start();
        List<Client> stalled = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            stalled.add(new Client().send("POST /api HTTP/1.1\r\nX-Trace"));
        }
        long startNanos = System.nanoTime();
        assertThat(exchange(request("t1", "order", ""))).endsWith("for t1");
        assertThat(System.nanoTime() - startNanos).as("the method's objective").isLessThan(2_000_000_000L);
        for (Client client : stalled) {
            assertThat(client.receive())
                    .satisfiesAnyOf(
                            response -> assertThat(response).isNull(),
                            response -> assertThat(response).matches("(?s)HTTP/1.1 (408|503) .*"));
        }
        assertThat(System.nanoTime() - startNanos).isLessThan(3_000_000_000L);
    }

    @Test
    void aSenderOfAnOversizedBodyIsDisconnected() throws Exception {
        start();
        Client sender = new Client().send(request("t", "order", "Content-Length: 60000000\r\n"));
        assertThatThrownBy(() -> {
                    for (int i = 0; i < 1000; i++) {
                        sender.send("x".repeat(60_000));
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
        sockets = 32 + 9; // leaves six sockets for clients
        backend.responder = request -> NO_RESPONSE;
        start();
        Client silent = new Client();
        Client inFlight = new Client().send(request("t1", "order", ""));
        assertThat(backend.nextRequest()).contains("t1");
        Client longestIdle = new Client();
        for (int i = 0; i < 4; i++) {
            Client next = i == 0 ? longestIdle : new Client();
            assertThat(next.send("GET /health/ready HTTP/1.1\r\n\r\n").receive())
                    .startsWith("HTTP/1.1 200 ");
        }
        assertThat(new Client().send("GET /health/ready HTTP/1.1\r\n\r\n").receive())
                .startsWith("HTTP/1.1 200 ");
        assertThat(silent.receive()).as("the silent client is evicted first").isNull();
        assertThat(new Client().send("GET /health/ready HTTP/1.1\r\n\r\n").receive())
                .startsWith("HTTP/1.1 200 ");
        assertThat(longestIdle.receive())
                .as("the longest idle client is evicted next")
                .isNull();
        assertThat(inFlight.socket.getInputStream().available())
                .as("the request in flight still waits for its response")
                .isZero();
    }

    @Test
    void idleClientsThatUseAllSocketsBlockNeitherDiscoveryNorARequest() throws Exception {
        sockets = 32 + 9; // leaves six sockets for clients
        StandIn secondBackend = new StandIn(request -> okResponse("second"));
        int port = discovery.listener.getLocalPort();
        shutDown(discovery);
        start();
        for (int i = 0; i < 20; i++) {
            closeAtEnd(new Client().socket);
        }
        String list = "{\"seq\":42,\"whole\":true,\"hosts\":[" + hostJson("c", secondBackend.address(), "in_service")
                + "]}\n";
        try (ServerSocket restartedDiscovery = new ServerSocket(port, 50, InetAddress.getLoopbackAddress())) {
            runInBackground(() -> {
                while (true) {
                    Socket socket = restartedDiscovery.accept();
                    readMessage(socket.getInputStream());
                    socket.getOutputStream().write((WATCH_HEAD + chunk(list)).getBytes(StandardCharsets.ISO_8859_1));
                }
            });
            String response = exchange(request("t1", "order", ""));
            assertThat(response).endsWith("second");
        }
    }
}
