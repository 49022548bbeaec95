package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against attempts for clients that have left while bytes of theirs had not been read yet. */
@Timeout(30)
class DisconnectBehindUnreadBytesTest extends FrontDoorFixture {
    private static final String NEVER_RAN = "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
    private static final long DETECTION_LIMIT_US = 100_000;
    private static final int BYTES_THAT_FIT_INTO_THE_RECEIVE_BUFFER = 100_000;
    private static final int PIPELINE_BYTES = 1 << 20;
    private static final int SLOW_ROUND_MS = 40;
    private static final long BACKLOG_READ_LIMIT_US = 3_000_000; // far more than the backlog takes, in slow rounds too

    /** How a client disconnects. */
    enum Disconnect {
        CLOSE,
        HALF_CLOSE,
        RESET
    }

    /** A client that writes as many pipelined requests as the sockets take, and reads nothing. */
    private final class PipeliningClient {
        final SocketChannel channel;

        PipeliningClient(String firstRequest) throws IOException {
            channel = closeAtEnd(SocketChannel.open(frontDoorAddress()));
            channel.configureBlocking(false);
            channel.write(ByteBuffer.wrap(firstRequest.getBytes(StandardCharsets.ISO_8859_1)));
        }

        int sendPipelined(int maxBytes) throws IOException {
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; pipelined.length() < maxBytes; i++) {
                pipelined.append(request("behind" + i, "order", ""));
            }
            return channel.write(ByteBuffer.wrap(pipelined.toString().getBytes(StandardCharsets.ISO_8859_1)));
        }

        void disconnect(Disconnect kind) throws IOException {
            if (kind == Disconnect.HALF_CLOSE) {
                channel.shutdownOutput();
                return;
            }
            if (kind == Disconnect.RESET) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
            channel.close();
        }
    }

    @BeforeEach
    void allowRetriesAndUnlimitedQuota() {
        changeSetting("\"AttemptsCap\":1", "\"AttemptsCap\":3");
        changeSetting("\"PerSecond\":1.0,\"Burst\":2.0", "\"PerSecond\":1000000.0,\"Burst\":1000000.0");
    }

    /** Starts a front door with two backends that turn requests away once they are released. */
    private StandIn startWithBackendsThatTurnAway(CompletableFuture<Void> release) throws IOException {
        backend.responder = request -> {
            release.join();
            return NEVER_RAN;
        };
        StandIn secondBackend = new StandIn(backend.responder);
        start(hostJson("b", backend.address(), "in_service") + ","
                + hostJson("c", secondBackend.address(), "in_service"));
        return secondBackend;
    }

    private void assertNotRetriedAfterDisconnect(int pipelineBytes, Disconnect kind) throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        StandIn secondBackend = startWithBackendsThatTurnAway(release);
        PipeliningClient client = new PipeliningClient(request("t0", "order", ""));
        while (backend.requests.isEmpty() && secondBackend.requests.isEmpty()) {
            awaitPendingEvents();
        }
        int sent = client.sendPipelined(pipelineBytes);
        awaitPendingEvents();
        client.disconnect(kind);
        awaitLoopDelay(DETECTION_LIMIT_US);
        release.complete(null);
        awaitLoopDelay(2 * DETECTION_LIMIT_US);
        List<String> attempts = new ArrayList<>(backend.requests);
        attempts.addAll(secondBackend.requests);
        assertThat(attempts)
                .as("attempts for a client that has left behind " + sent + " bytes")
                .hasSize(1);
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void aRequestIsNotRetriedOnceItsClientHasLeftBehindAFullReceiveBuffer(Disconnect kind) throws Exception {
        assertNotRetriedAfterDisconnect(PIPELINE_BYTES, kind);
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void aRequestIsNotRetriedOnceItsClientHasLeftBehindAFewRequests(Disconnect kind) throws Exception {
        assertNotRetriedAfterDisconnect(BYTES_THAT_FIT_INTO_THE_RECEIVE_BUFFER, kind);
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void aRequestIsNotForwardedIfItsClientHasLeftBeforeItWasRead(Disconnect kind) throws Exception {
        start();
        assertThat(exchange(request("first", "order", ""))).endsWith("for first");
        CompletableFuture<Void> resume = new CompletableFuture<>();
        loop.execute(resume::join); // as if the process had been suspended
        PipeliningClient client = new PipeliningClient(request("t0", "order", ""));
        client.disconnect(kind);
        resume.complete(null);
        awaitLoopDelay(DETECTION_LIMIT_US);
        assertThat(backend.requests).hasSize(1).allMatch(request -> request.contains("first"));
    }

    @Test
    void aRequestIsNotForwardedIfItsClientHasLeftBehindManyOthersBeforeItWasRead() throws Exception {
        start();
        assertThat(exchange(request("first", "order", ""))).endsWith("for first");
        CompletableFuture<Void> resume = new CompletableFuture<>();
        loop.execute(resume::join);
        PipeliningClient client = new PipeliningClient(request("t0", "order", ""));
        client.sendPipelined(PIPELINE_BYTES);
        client.disconnect(Disconnect.CLOSE);
        resume.complete(null);
        awaitLoopDelay(2 * DETECTION_LIMIT_US);
        assertThat(backend.requests).hasSize(1).allMatch(request -> request.contains("first"));
    }

    /** Makes each round of the event loop take so long that a backlog is read over many rounds. */
    private void slowDownLoop(long roundMs) {
        loop.execute(() -> repeatSlowTask(roundMs));
    }

    private void repeatSlowTask(long roundMs) {
        try {
            Thread.sleep(roundMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.scheduleAfter(1, () -> repeatSlowTask(roundMs));
    }

    /** Guards against requests that are sent although the backlog behind them, and the close, took long to read. */
    @Test
    void aRequestIsNotForwardedIfTheBacklogBehindItIsReadSlowly() throws Exception {
        start();
        assertThat(exchange(request("first", "order", ""))).endsWith("for first");
        slowDownLoop(SLOW_ROUND_MS);
        PipeliningClient client = new PipeliningClient(request("t0", "order", ""));
        int sent = client.sendPipelined(PIPELINE_BYTES);
        client.disconnect(Disconnect.CLOSE);
        awaitLoopDelay(BACKLOG_READ_LIMIT_US);
        assertThat(backend.requests)
                .as("attempts with a client that has left behind " + sent + " bytes")
                .hasSize(1)
                .allMatch(request -> request.contains("first"));
    }

    /** Guards against retries for a client that has left while the backlog behind its request is still being read. */
    @Test
    void aRequestIsNotRetriedWhileABacklogIsReadBehindWhichItsClientMayHaveLeft() throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        StandIn secondBackend = startWithBackendsThatTurnAway(release);
        PipeliningClient client = new PipeliningClient(request("t0", "order", ""));
        while (backend.requests.isEmpty() && secondBackend.requests.isEmpty()) {
            awaitPendingEvents();
        }
        slowDownLoop(SLOW_ROUND_MS);
        client.sendPipelined(PIPELINE_BYTES);
        client.disconnect(Disconnect.CLOSE);
        awaitLoopDelay(2 * DETECTION_LIMIT_US);
        release.complete(null);
        awaitLoopDelay(BACKLOG_READ_LIMIT_US);
        assertThat(backend.requests.size() + secondBackend.requests.size())
                .as("attempts for the client")
                .isEqualTo(1);
    }

    /** Guards against requests of clients that stay and are not served since they have sent much. */
    @Test
    void aRequestWithALongBacklogBehindItIsServedIfItsClientStays() throws Exception {
        start();
        assertThat(exchange(request("first", "order", ""))).endsWith("for first");
        slowDownLoop(SLOW_ROUND_MS);
        PipeliningClient client = new PipeliningClient(request("t0", "order", ""));
        client.sendPipelined(PIPELINE_BYTES);
        assertThat(backend.nextRequest()).contains("first");
        assertThat(backend.nextRequest()).contains("t0");
    }
}
