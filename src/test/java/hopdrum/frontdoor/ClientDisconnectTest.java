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

/**
 * Clients that disconnect while their request is in flight. A request whose client is gone must not be sent to a
 * backend any more.
 */
@Timeout(20)
class ClientDisconnectTest extends FrontDoorFixture {
    private static final int PIPELINED_REQUESTS = 1000;

    /** How a client disconnects. */
    enum Disconnect {
        CLOSE,
        HALF_CLOSE,
        RESET
    }

    private static void disconnect(Client client, Disconnect kind) throws IOException {
        switch (kind) {
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
    void aRequestWhoseClientDisconnectsWhileItIsQueuedIsNeverForwarded(Disconnect kind) throws Exception {
        // The fallback bucket, which is used if the counter responds late, is empty at the start in one of four cases
        // with
        // the usual rate, but never with this one.
        changeSetting("\"PerSecond\":1.0", "\"PerSecond\":1000000.0");
        backend.responder = request -> NO_RESPONSE;
        start();
        List<Client> clients = new ArrayList<>();
        for (int i = 1; i <= 7; i++) { // the backend serves six requests at a time
            clients.add(new Client().send(withCustomer(i, request("t" + i, "order", ""))));
            assertThat(i == 7 || backend.nextRequest() != null).isTrue();
        }
        awaitLoopDelay(100_000); // the seventh request is counted and queued
        assertThat(backend.requests).isEmpty();
        disconnect(clients.get(6), kind);
        awaitPendingEvents();
        for (Client client : clients.subList(0, 6)) {
            client.socket.close(); // frees the backend
        }
        awaitPendingEvents();
        backend.responder = request -> okResponse("for " + field(request, "X-Trace-Id"));
        assertThat(exchange(withCustomer(8, request("t8", "order", "")))).endsWith("for t8");
        assertThat(backend.requests).hasSize(1).allMatch(request -> request.contains("t8"));
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void aRequestWhoseClientDisconnectsWhileItsBackendConnectionIsPendingIsNeverForwarded(Disconnect kind)
            throws Exception {
        changeSetting("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000");
        changeSetting("\"Cancel\":true", "\"Cancel\":false");
        LateConnectingBackend lateBackend = closeAtEnd(new LateConnectingBackend());
        start(hostJson("b", lateBackend.address(), "in_service"));
        Client client = new Client().send(withCustomer(1, request("t1", "order", "")));
        awaitLoopDelay(100_000); // the request is counted and its backend is selected
        disconnect(client, kind);
        awaitPendingEvents();
        lateBackend.acceptConnections();
        assertThat(lateBackend.connections.poll(10, TimeUnit.SECONDS))
                .as("the late backend connection is established")
                .isNotNull();
        awaitPendingEvents();
        assertThat(exchange(withCustomer(2, request("t2", "order", "")))).endsWith("for t2");
        assertThat(lateBackend.requests).hasSize(1).allMatch(request -> request.contains("t2"));
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void aRequestWhoseClientDisconnectsBeforeARetryIsNotRetried(Disconnect kind) throws Exception {
        changeSetting("\"AttemptsCap\":1", "\"AttemptsCap\":3");
        changeSetting("\"Cancel\":true", "\"Cancel\":false");
        StandIn secondBackend = new StandIn(request -> NO_RESPONSE);
        CompletableFuture<Void> releaseFailure = new CompletableFuture<>();
        backend.responder = request -> {
            releaseFailure.join();
            return "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
        };
        secondBackend.responder = backend.responder;
        start(hostJson("b", backend.address(), "in_service") + ","
                + hostJson("c", secondBackend.address(), "in_service"));
        Client client = new Client().send(request("t1", "checkout", ""));
        while (backend.requests.isEmpty() && secondBackend.requests.isEmpty()) {
            awaitPendingEvents();
        }
        disconnect(client, kind);
        awaitPendingEvents();
        releaseFailure.complete(null);
        backend.responder = request -> okResponse("for " + field(request, "X-Trace-Id"));
        secondBackend.responder = backend.responder;
        assertThat(exchange(withCustomer(2, request("t2", "checkout", "")))).endsWith("for t2");
        assertThat(backend.requests.size() + secondBackend.requests.size())
                .as("one attempt for each request")
                .isEqualTo(2);
    }

    /** Guards against an id that runs twice when it comes again after its client has left. */
    @Test
    void aRequestThatComesAgainAfterItsClientHasLeftIsNotForwardedIfItMayHaveRun() throws Exception {
        backend.responder = request -> NO_RESPONSE;
        start();
        Client client = new Client().send(request("t1", "order", ""));
        assertThat(backend.nextRequest()).contains("t1");
        client.socket.close();
        assertThat(backend.closedConnections.poll(10, TimeUnit.SECONDS)).isEqualTo(1);
        backend.responder = request -> okResponse("for " + field(request, "X-Trace-Id"));
        assertThat(exchange(request("t1", "order", ""))).startsWith("HTTP/1.1 409 ");
        assertThat(exchange(request("t2", "order", ""))).endsWith("for t2");
        assertThat(backend.requests).hasSize(1);
    }

    @Test
    void aRequestThatComesAgainAfterItsClientHasLeftIsForwardedIfItHasNotRun() throws Exception {
        start();
        assertThat(exchange(request("first", "order", ""))).endsWith("for first");
        counter.responder = request -> NO_RESPONSE;
        Client client = new Client().send(request("t1", "order", "")); // waits for the counter
        client.socket.close();
        awaitLoopDelay(100_000);
        counter.responder = request -> okResponse("1");
        assertThat(exchange(request("t1", "order", ""))).endsWith("for t1");
    }

    /** Guards against an id that runs twice when it comes again after its response, as from a client that had left. */
    @Test
    void aRequestThatMustNotRunTwiceIsNotForwardedIfItComesAgainAfterItsResponse() throws Exception {
        start();
        assertThat(exchange(request("t1", "order", ""))).endsWith("for t1");
        assertThat(exchange(request("t1", "order", ""))).startsWith("HTTP/1.1 409 ");
        assertThat(exchange(request("t2", "order", ""))).endsWith("for t2");
        assertThat(backend.requests).hasSize(2);
    }

    @Test
    void aRequestThatComesAgainIsForwardedIfItHasNotRunOrMayRunTwice() throws Exception {
        backend.responder = request -> "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
        start();
        assertThat(exchange(request("t1", "order", ""))).startsWith("HTTP/1.1 503 ");
        backend.responder = request -> okResponse("for " + field(request, "X-Trace-Id"));
        assertThat(exchange(withCustomer(2, request("t1", "order", "")))).endsWith("for t1");
        assertThat(exchange(withCustomer(3, request("t2", "checkout", "")))).endsWith("for t2");
        assertThat(exchange(withCustomer(3, request("t2", "checkout", "")))).endsWith("for t2");
    }

    /**
     * The end of the connection comes after bytes that do not fit into the receive buffer. A half-close is left out,
     * because it is detected only once those bytes have been read.
     */
    @ParameterizedTest
    @EnumSource(
            value = Disconnect.class,
            names = {"CLOSE", "RESET"})
    void aDisconnectBehindAFullReceiveBufferIsDetectedAtTheFirstUnreadResponse(Disconnect kind) throws Exception {
        changeSetting("\"PerSecond\":1.0,\"Burst\":2.0", "\"PerSecond\":1000000.0,\"Burst\":1000000.0");
        CompletableFuture<Void> release = new CompletableFuture<>();
        holdResponsesUntil(release, "for ");
        start();
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < PIPELINED_REQUESTS; i++) {
            pipelined.append(request("t" + i, "order", ""));
        }
        Client client = new Client().send(pipelined.toString());
        assertThat(backend.nextRequest()).contains("t0");
        awaitPendingEvents();
        disconnect(client, kind);
        awaitPendingEvents();
        release.complete(null);
        assertThat(exchange(request("other", "order", ""))).endsWith("for other");
        assertThat(backend.requests.stream()
                        .filter(request -> !request.contains("other"))
                        .count())
                .as("further attempts for the disconnected client")
                .isLessThanOrEqualTo(1);
    }
}
