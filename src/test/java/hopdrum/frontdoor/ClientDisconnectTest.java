package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that disconnect while their request is in flight. */
@Timeout(20)
class ClientDisconnectTest extends FrontDoorFixture {
    private static final int PIPELINED = 1000;

    /** How a client disconnects. */
    enum Disconnect {
        CLOSE,
        HALF_CLOSE,
        RESET
    }

    private static void disconnect(Client client, Disconnect how) throws IOException {
        switch (how) {
            case CLOSE -> client.socket.close();
            case HALF_CLOSE -> client.socket.shutdownOutput();
            case RESET -> reset(client.socket);
        }
    }

    @Test
    void aClientThatDisconnectsCancelsItsAttempt() throws Exception {
        backend.responder = request -> NO_RESPONSE;
        start();
        Client client = new Client().send(request("t1", "order", ""));
        assertThat(backend.nextRequest()).contains("t1");
        client.socket.close();
        assertThat(backend.closedConnections.poll(10, TimeUnit.SECONDS))
                .as("the backend sees its connection end")
                .isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void aRequestWhoseClientDisconnectsWhileItIsQueuedIsNeverForwarded(Disconnect how) throws Exception {
        // The fallback bucket of a counter that answers late is empty at the start in one of four cases, but with this
        // rate.
        changeSetting("\"PerSecond\":1.0", "\"PerSecond\":1000000.0");
        backend.responder = request -> NO_RESPONSE;
        start();
        List<Client> clients = new ArrayList<>();
        for (int i = 1; i <= 7; i++) { // one backend serves six at a time
            clients.add(new Client().send(withCustomer(i, request("t" + i, "order", ""))));
            assertThat(i == 7 || backend.nextRequest() != null).isTrue();
        }
        awaitLoopDelay(100_000); // the seventh is counted and queued
        assertThat(backend.requests).isEmpty();
        disconnect(clients.get(6), how);
        awaitPendingEvents();
        for (Client client : clients.subList(0, 6)) {
            client.socket.close(); // the backend is free again
        }
        awaitPendingEvents();
        backend.responder = request -> okResponse("for " + field(request, "X-Trace-Id"));
        assertThat(exchange(withCustomer(8, request("t8", "order", "")))).endsWith("for t8");
        assertThat(backend.requests).hasSize(1).allMatch(request -> request.contains("t8"));
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void aRequestWhoseClientDisconnectsWhileItsConnectionComesUpIsNeverForwarded(Disconnect how) throws Exception {
        changeSetting("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000");
        changeSetting("\"Cancel\":true", "\"Cancel\":false");
        LateConnectingBackend late = closeAtEnd(new LateConnectingBackend());
        start(hostJson("b", late.address(), "in_service"));
        Client client = new Client().send(withCustomer(1, request("t1", "order", "")));
        awaitLoopDelay(100_000); // counted, and its backend picked
        disconnect(client, how);
        awaitPendingEvents();
        late.acceptConnections();
        assertThat(late.connections.poll(10, TimeUnit.SECONDS))
                .as("came up late")
                .isNotNull();
        awaitPendingEvents();
        assertThat(exchange(withCustomer(2, request("t2", "order", "")))).endsWith("for t2");
        assertThat(late.requests).hasSize(1).allMatch(request -> request.contains("t2"));
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void aRequestWhoseClientDisconnectsBeforeARetryIsNotRetried(Disconnect how) throws Exception {
        changeSetting("\"AttemptsCap\":1", "\"AttemptsCap\":3");
        changeSetting("\"Cancel\":true", "\"Cancel\":false");
        StandIn second = new StandIn(request -> NO_RESPONSE);
        CompletableFuture<Void> fail = new CompletableFuture<>();
        backend.responder = request -> {
            fail.join();
            return "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
        };
        second.responder = backend.responder;
        start(hostJson("b", backend.address(), "in_service") + "," + hostJson("c", second.address(), "in_service"));
        Client client = new Client().send(request("t1", "checkout", ""));
        while (backend.requests.isEmpty() && second.requests.isEmpty()) {
            awaitPendingEvents();
        }
        disconnect(client, how);
        awaitPendingEvents();
        fail.complete(null);
        backend.responder = request -> okResponse("for " + field(request, "X-Trace-Id"));
        second.responder = backend.responder;
        assertThat(exchange(withCustomer(2, request("t2", "checkout", "")))).endsWith("for t2");
        assertThat(backend.requests.size() + second.requests.size())
                .as("one attempt each")
                .isEqualTo(2);
    }

    /** The end of the connection is behind bytes for which there is no room; a half-close is seen once they are read. */
    @ParameterizedTest
    @EnumSource(
            value = Disconnect.class,
            names = {"CLOSE", "RESET"})
    void aClientThatDisconnectsBehindAFullBufferIsDetectedWithTheFirstResponseThatItDoesNotRead(Disconnect how)
            throws Exception {
        changeSetting("\"PerSecond\":1.0,\"Burst\":2.0", "\"PerSecond\":1000000.0,\"Burst\":1000000.0");
        CompletableFuture<Void> release = new CompletableFuture<>();
        holdResponsesUntil(release, "for ");
        start();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < PIPELINED; i++) {
            all.append(request("t" + i, "order", ""));
        }
        Client client = new Client().send(all.toString());
        assertThat(backend.nextRequest()).contains("t0");
        awaitPendingEvents();
        disconnect(client, how);
        awaitPendingEvents();
        release.complete(null);
        assertThat(exchange(request("other", "order", ""))).endsWith("for other");
        assertThat(backend.requests.stream()
                        .filter(request -> !request.contains("other"))
                        .count())
                .as("further attempts for it")
                .isLessThanOrEqualTo(1);
    }
}
