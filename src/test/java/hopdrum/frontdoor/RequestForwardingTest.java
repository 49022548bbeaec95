package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Forwarding of client requests to a backend, and of the responses to the clients. Guards against requests that are
 * sent twice, responses that reach the wrong client, and rejections of requests that may have run.
 */
@Timeout(20)
class RequestForwardingTest extends FrontDoorFixture {
    @Test
    void aRequestIsCountedOnceAndForwardedAndItsResponseIsReturnedUnchanged() throws Exception {
        start();
        assertThat(exchange("GET /health/ready HTTP/1.1\r\n\r\n")).startsWith("HTTP/1.1 200 ");
        String body = "b".repeat(64 << 10);
        backend.responder = request -> okResponse(request.substring(request.indexOf("\r\n\r\n") + 4));
        assertThat(exchange(request("t1", "checkout", "Content-Length: 65536\r\n") + body))
                .startsWith("HTTP/1.1 200 ")
                .endsWith(body);
        assertThat(counter.nextRequest()).contains("delta=1&life_ms=60000");
        assertThat(backend.nextRequest())
                .contains("X-Trace-Id: t1\r\n")
                .contains("Idempotency-Key: k\r\n")
                .contains("X-Expires-In-Ms: ");
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrderOverOnePooledConnection() throws Exception {
        start();
        Client client = new Client().send(request("t1", "checkout", "") + request("t2", "order", ""));
        assertThat(client.receive()).endsWith("for t1");
        assertThat(client.receive()).endsWith("for t2");
        awaitReusableConnection();
        assertThat(client.send(request("t3", "order", "")).receive()).endsWith("for t3");
        client.socket.close();
        int connections = 0;
        for (int served = 0; served < 3; connections++) {
            // The front door closes its idle connections before the backend's idle limit.
            served += backend.closedConnections.poll(10, TimeUnit.SECONDS);
        }
        assertThat(connections).as("at least one connection is reused").isLessThan(3);
    }

    private static final int PIPELINED_REQUESTS = 1000;

    /** The deadline is long, since the last request waits in the buffer for as long as the others take. */
    @Test
    void pipelinedRequestsBehindAFullBufferAreAllAnsweredInOrder() throws Exception {
        changeSetting("\"PerSecond\":1.0,\"Burst\":2.0", "\"PerSecond\":1000000.0,\"Burst\":1000000.0");
        changeSetting(
                "\"order\",\"AimUs\":2000000,\"GiveUpUs\":4000000",
                "\"order\",\"AimUs\":60000000,\"GiveUpUs\":60000000");
        start();
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < PIPELINED_REQUESTS; i++) {
            pipelined.append(request("t" + i, "order", "").replace("X-Expires-In-Ms: 4000", "X-Expires-In-Ms: 60000"));
        }
        assertThat(pipelined.length()).as("more than the receive buffer holds").isGreaterThan(160 << 10);
        Client client = new Client();
        runInBackground(() -> client.send(pipelined.toString()));
        for (int i = 0; i < PIPELINED_REQUESTS; i++) {
            assertThat(client.receive()).endsWith("for t" + i);
        }
    }

    @Test
    void aRequestThatNeverRanIsRejectedAndOneThatMayHaveRunIsAborted() throws Exception {
        start();
        backend.responder = request -> "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
        assertThat(exchange(request("t1", "order", ""))).startsWith("HTTP/1.1 503 ");
        backend.responder = request -> null;
        assertThat(exchange(request("t2", "order", "")))
                .as("closed after the last byte of the request")
                .startsWith("HTTP/1.1 500 ");
        assertThat(backend.nextRequest()).contains("t1");
        assertThat(backend.nextRequest()).contains("t2");
        assertThat(backend.requests).as("nothing is retried").isEmpty();
    }

    @Test
    void aRequestWhoseBackendRefusesConnectionsIsRejected() throws Exception {
        String address = backend.address();
        backend.close();
        start(hostJson("b", address, "in_service"));
        assertThat(exchange(request("t1", "order", ""))).startsWith("HTTP/1.1 503 ");
    }

    @Test
    void aRequestWhoseBackendConnectionIsNeverEstablishedIsRejected() throws Exception {
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort());
                Socket second = new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort())) {
            assertThat(first.isConnected() && second.isConnected())
                    .as("no connection is accepted, and the backlog is full")
                    .isTrue();
            start(hostJson("b", "127.0.0.1:" + unresponsive.getLocalPort(), "in_service"));
            assertThat(exchange(request("t1", "order", ""))).startsWith("HTTP/1.1 503 ");
        }
    }

    @Test
    void aResponseLongerThanAnyRequestIsReturnedComplete() throws Exception {
        String body = "0123456789abcdef".repeat(40_000);
        backend.responder = request -> okResponse(body);
        start();
        Client client = new Client().send(request("t1", "order", ""));
        assertThat(client.receive().endsWith(body)).isTrue();
        backend.responder = request -> okResponse("short");
        assertThat(client.send(request("t2", "order", "")).receive()).endsWith("short");
    }

    @Test
    void malformedInputIsAnsweredOnceAndTheConnectionCloses() throws Exception {
        start();
        for (String[] malformed : new String[][] {
            {"nonsense\r\n\r\n", "400"},
            {"GET /nowhere HTTP/1.1\r\n\r\n", "404"},
            {request("t", "nothing", ""), "400"},
            {request("t", "checkout", "").replace("Idempotency-Key", "X"), "400"},
            {"GET /api HTTP/1.1\r\nX: " + "x".repeat(9000), "431"},
            {request("t", "order", "Content-Length: 70000\r\n"), "413"}
        }) {
            Client client = new Client().send(malformed[0]);
            assertThat(client.receive()).startsWith("HTTP/1.1 " + malformed[1]).contains("Connection: close");
            assertThat(client.receive()).isNull();
        }
        assertThat(backend.requests).isEmpty();
    }

    @Test
    void aRequestWithTheTraceIdOfARequestInFlightIsRejected() throws Exception {
        backend.responder = request -> NO_RESPONSE;
        start();
        for (String method : new String[] {"order", "checkout"}) {
            Client first = new Client().send(request("for-" + method, method, ""));
            assertThat(backend.nextRequest()).contains("for-" + method);
            assertThat(exchange(request("for-" + method, method, ""))).startsWith("HTTP/1.1 409 ");
            backend.send(okResponse("for the first"));
            assertThat(first.receive()).endsWith("for the first");
        }
        backend.responder = request -> okResponse("again");
        assertThat(exchange(withCustomer(8, request("for-checkout", "checkout", ""))))
                .as("the trace ID is not in flight any more, and the request may run again")
                .endsWith("again");
        assertThat(exchange(withCustomer(8, request("for-order", "order", ""))))
                .as("the trace ID is not in flight any more, but the request must not run again")
                .startsWith("HTTP/1.1 409 ");
    }
}
