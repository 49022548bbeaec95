package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests of clients on their way to a backend and back. */
@Timeout(20)
class RequestForwardingTest extends FrontDoorFixture {
    @Test
    void aRequestIsCountedOnceAndForwardedAndItsResponseComesBackUnchanged() throws Exception {
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
            served +=
                    backend.closedConnections.poll(10, TimeUnit.SECONDS); // closed before the backend's own idle limit
        }
        assertThat(connections).as("one is reused").isLessThan(3);
    }

    private static final int PIPELINED = 1000;

    @Test
    void pipelinedRequestsBehindAFullBufferAreAllAnsweredInOrder() throws Exception {
        changeSetting("\"PerSecond\":1.0,\"Burst\":2.0", "\"PerSecond\":1000000.0,\"Burst\":1000000.0");
        start();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < PIPELINED; i++) {
            all.append(request("t" + i, "order", ""));
        }
        assertThat(all.length()).as("more than the buffer holds").isGreaterThan(160 << 10);
        Client client = new Client();
        runInBackground(() -> client.send(all.toString()));
        for (int i = 0; i < PIPELINED; i++) {
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
                .as("broken after the last byte")
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
    void aRequestWhoseConnectionNeverComesUpIsRejected() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket second = new Socket(full.getInetAddress(), full.getLocalPort())) {
            assertThat(first.isConnected() && second.isConnected())
                    .as("nobody accepts, and the queue is full")
                    .isTrue();
            start(hostJson("b", "127.0.0.1:" + full.getLocalPort(), "in_service"));
            assertThat(exchange(request("t1", "order", ""))).startsWith("HTTP/1.1 503 ");
        }
    }

    @Test
    void aResponseLongerThanAnyRequestComesBackComplete() throws Exception {
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
        for (String[] bad : new String[][] {
            {"nonsense\r\n\r\n", "400"},
            {"GET /nowhere HTTP/1.1\r\n\r\n", "404"},
            {request("t", "nothing", ""), "400"},
            {request("t", "checkout", "").replace("Idempotency-Key", "X"), "400"},
            {"GET /api HTTP/1.1\r\nX: " + "x".repeat(9000), "431"},
            {request("t", "order", "Content-Length: 70000\r\n"), "413"}
        }) {
            Client client = new Client().send(bad[0]);
            assertThat(client.receive()).startsWith("HTTP/1.1 " + bad[1]).contains("Connection: close");
            assertThat(client.receive()).isNull();
        }
        assertThat(backend.requests).isEmpty();
    }

    @Test
    void aTraceIdThatIsInFlightIsNotTakenOver() throws Exception {
        backend.responder = request -> NO_RESPONSE;
        start();
        Client first = new Client().send(request("t1", "order", ""));
        assertThat(backend.nextRequest()).contains("t1");
        assertThat(exchange(request("t1", "order", ""))).startsWith("HTTP/1.1 409 ");
        backend.send(okResponse("for the first"));
        assertThat(first.receive()).endsWith("for the first");
        backend.responder = request -> okResponse("again");
        assertThat(exchange(request("t1", "order", "")))
                .as("not in flight any more")
                .endsWith("again");
    }
}
