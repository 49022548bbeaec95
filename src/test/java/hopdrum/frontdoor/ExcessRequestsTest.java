package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against pipelined requests beyond the receive buffer that get no answer, or one out of order. */
@Timeout(30)
class ExcessRequestsTest extends FrontDoorFixture {
    private static final int REQUESTS_BEYOND_THE_BUFFER = 3000;
    private static final int MANY_REQUESTS_BEYOND_THE_BUFFER =
            30_000; // whose responses exceed a client's socket buffer
    private static final int BYTES_AFTER_THE_LAST_REQUEST = 1 << 20;
    private final CompletableFuture<Void> release = new CompletableFuture<>();

    @BeforeEach
    void holdResponsesWithoutQuotas() {
        changeSetting("\"PerSecond\":1.0", "\"PerSecond\":0.0"); // so that a slow counter rejects nothing
        holdResponsesUntil(release, "for ");
    }

    private static String longRunning(String request) {
        return request.replace("X-Expires-In-Ms: 4000", "X-Expires-In-Ms: 60000");
    }

    private static String expired(String request) {
        return request.replace("X-Expires-In-Ms: 4000", "X-Expires-In-Ms: 1");
    }

    /** Sends one request that is held at the backend, and many behind it. */
    private Client pipeline(String requestBehind, int count) throws Exception {
        start();
        Client client = new Client().send(longRunning(request("t", "order", "")));
        assertThat(backend.nextRequest()).contains("X-Trace-Id: t");
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < count; i++) {
            pipelined.append(requestBehind.replace("%d", Integer.toString(i)));
        }
        client.send(pipelined.toString());
        awaitPendingEvents();
        return client;
    }

    @Test
    void eachRequestBeyondTheReceiveBufferIsRejectedInItsTurn() throws Exception {
        Client client = pipeline(longRunning(request("t%d", "order", "")), REQUESTS_BEYOND_THE_BUFFER);
        runInBackground(() -> release.complete(null));
        assertThat(client.receive()).endsWith("for t");
        int served = 0;
        for (int i = 0; i < REQUESTS_BEYOND_THE_BUFFER; i++) {
            String response = client.receive();
            boolean isServed = response.startsWith("HTTP/1.1 200 ");
            assertThat(response).matches(isServed ? "(?s).*for t" + i : "(?s)HTTP/1.1 503 .*");
            assertThat(!isServed || served == i)
                    .as("all responses of backends come first")
                    .isTrue();
            served += isServed ? 1 : 0;
        }
        assertThat(served).isBetween(1, REQUESTS_BEYOND_THE_BUFFER - 1);
        assertThat(client.send(request("next", "order", "")).receive()).endsWith("for next");
    }

    @Test
    void bodiesAndChunksBeyondTheReceiveBufferAreSkipped() throws Exception {
        String chunks = "Transfer-Encoding: chunked\r\n\r\n" + chunk("x".repeat(30_000)) + "0\r\n";
        Client client = pipeline(
                longRunning(request("c%d", "order", chunks))
                        + longRunning(request("l%d", "order", "Content-Length: 60000\r\n"))
                        + "y".repeat(60_000),
                20);
        release.complete(null);
        assertThat(client.receive()).endsWith("for t");
        for (int i = 0; i < 40; i++) {
            assertThat(client.receive()).matches("(?s)HTTP/1.1 (200|503) .*");
        }
        assertThat(client.send(request("next", "order", "")).receive()).endsWith("for next");
    }

    @Test
    void aMalformedRequestBeyondTheReceiveBufferEndsTheConnectionAfterTheResponsesBeforeIt() throws Exception {
        Client client = pipeline(longRunning(request("t%d", "order", "")), REQUESTS_BEYOND_THE_BUFFER);
        client.send("nonsense\r\n\r\n" + request("behind", "order", ""));
        release.complete(null);
        for (int i = 0; i <= REQUESTS_BEYOND_THE_BUFFER; i++) {
            assertThat(client.receive()).matches("(?s)HTTP/1.1 (200|503) .*");
        }
        assertThat(client.receive()).startsWith("HTTP/1.1 400 ").contains("Connection: close");
        assertThat(client.receive()).isNull();
    }

    @Test
    void onSigtermRequestsBeyondTheReceiveBufferAreAnsweredBeforeTheConnectionCloses() throws Exception {
        Client client = pipeline(longRunning(request("t%d", "order", "")), REQUESTS_BEYOND_THE_BUFFER);
        loop.execute(frontDoor::startGracefulShutdown);
        awaitPendingEvents();
        release.complete(null);
        for (int i = 0; i < REQUESTS_BEYOND_THE_BUFFER; i++) {
            assertThat(client.receive()).matches("(?s)HTTP/1.1 (200|503) .*").doesNotContain("Connection: close");
        }
        assertThat(client.receive()).contains("Connection: close");
        assertThat(client.receive()).isNull();
        loopEnded.get(10, TimeUnit.SECONDS);
    }

    /** Guards against a client that sends on after its last response and loses those that it has not read yet. */
    @Test
    void aClientThatSendsOnAfterItsLastResponseCanReadAllResponses() throws Exception {
        Client client = pipeline(expired(request("t%d", "order", "")), MANY_REQUESTS_BEYOND_THE_BUFFER);
        client.send(longRunning(request("last", "order", "Connection: close\r\n")));
        release.complete(null);
        awaitLoopDelay(300_000); // until all responses are written to the socket
        CompletableFuture<Void> sent = new CompletableFuture<>();
        runInBackground(() -> {
            client.send("x".repeat(BYTES_AFTER_THE_LAST_REQUEST));
            sent.complete(null);
        });
        sent.get(10, TimeUnit.SECONDS);
        String responses = new String(client.socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertThat(responses.split("HTTP/1.1 ", -1)).hasSize(1 + 1 + MANY_REQUESTS_BEYOND_THE_BUFFER + 1);
        assertThat(responses.substring(responses.lastIndexOf("HTTP/1.1 "))).contains("Connection: close");
    }
}
