package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.frontdoor.connection.DiscoveredBackend;
import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.server.Warmup;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The endpoint list: discovery's watch and the cached list. A watch that falls silent or ends must be reopened before a
 * missed change counts as notified, or requests would still be sent to a backend that drains.
 */
@Timeout(20)
class DiscoveryWatchTest extends FrontDoorFixture {
    @Test
    void aDrainingBackendGetsNoNewRequestsAndAMalformedLineLeadsToAFetchOfTheList() throws Exception {
        StandIn secondBackend = new StandIn(request -> okResponse("second"));
        start();
        assertThat(discovery.nextRequest()).contains("watch=1&after=41");
        exchange("GET /health/ready HTTP/1.1\r\n\r\n"); // responded to after discovery has written its first line
        String malformedLine = "{\"seq\":42,\n";
        String completeList = "{\"seq\":43,\"whole\":true,\"hosts\":[" + hostJson("b", backend.address(), "terminating")
                + "," + hostJson("c", secondBackend.address(), "in_service") + "]}";
        discovery.responder = request -> okResponse(completeList);
        discovery.send(chunk(malformedLine));
        assertThat(discovery.nextRequest()).startsWith("GET /registry/instances HTTP/1.1");
        while (!exchange(request("t1", "checkout", "")).endsWith("second")) {
            assertThat(secondBackend.requests).isEmpty(); // the list has not arrived yet
        }
        assertThat(exchange(request("t2", "checkout", ""))).endsWith("second");
    }

    @Test
    void clientsWaitForDiscoverysFirstLineBecauseTheCachedListMayBeOutdated() throws Exception {
        StandIn secondBackend = new StandIn(request -> okResponse("second"));
        CompletableFuture<Void> firstLineReleased = new CompletableFuture<>();
        String list = "{\"seq\":43,\"whole\":false,\"hosts\":[" + hostJson("b", backend.address(), "terminating") + ","
                + hostJson("c", secondBackend.address(), "in_service") + "]}\n";
        discovery.responder = request -> {
            firstLineReleased.join();
            return WATCH_HEAD + chunk(list);
        };
        start();
        Client waitingClient = new Client().send(request("t1", "order", ""));
        loop.execute(() -> loop.scheduleAfter(50_000, () -> firstLineReleased.complete(null)));
        assertThat(waitingClient.receive()).endsWith("second");
        assertThat(backend.requests).isEmpty();
    }

    @Test
    void theTimeoutForDiscoveryStartsWithTheLoopAndNotBeforeALongWarmup() throws Exception {
        long startNanos = System.nanoTime();
        warmUp = () -> {
            while (System.nanoTime() - startNanos < 500_000_000L) {
                Warmup.run(Config.parse(configJson(hostJson("b", backend.address(), "in_service"))));
            }
        };
        clientsWaitForDiscoverysFirstLineBecauseTheCachedListMayBeOutdated();
    }

    @Test
    void whileDiscoveryIsDownTheCachedListIsUsed() throws Exception {
        discovery.responder = request -> NO_RESPONSE;
        start();
        assertThat(exchange(request("t1", "order", ""))).endsWith("for t1");
    }

    @Test
    void aWatchThatFallsSilentIsReopenedBeforeAMissedChangeCountsAsNotified() throws Exception {
        start();
        assertThat(discovery.nextRequest()).contains("watch=1");
        discovery.send(chunk("\n"));
        assertThat(discovery.requests.poll(4_500, TimeUnit.MILLISECONDS)).contains("watch=1");
    }

    @Test
    void aCompleteListThatNamesABackendAgainLeavesItsConnectionsOpen() throws Exception {
        start();
        assertThat(exchange(request("t1", "order", ""))).endsWith("for t1");
        awaitReusableConnection();
        loop.execute(() -> frontDoor.endpointListReceived(
                DiscoveredBackend.parseList(Map.of(
                        "hosts", List.of(Map.of("host", "b", "dial", backend.address(), "health", "in_service")))),
                true));
        assertThat(exchange(request("t2", "order", ""))).endsWith("for t2");
        assertThat(backend.sockets).hasSize(1);
    }

    @Test
    void aWatchThatNeverRespondsIsReopenedBeforeAMissedChangeCountsAsNotified() throws Exception {
        StandIn newBackend = new StandIn(request -> okResponse("c"));
        discoveryRespondsAfter(1, newBackend);
        start();
        assertThat(secondsUntilRequested(newBackend)).isLessThan(5);
    }

    @Test
    void aWatchSilentAfterAListAndTwoThatNeverRespondAreReopenedBeforeAMissedChangeCountsAsNotified() throws Exception {
        StandIn newBackend = new StandIn(request -> okResponse("c"));
        start();
        assertThat(discovery.nextRequest()).contains("watch=1");
        discoveryRespondsAfter(2, newBackend);
        discovery.send(chunk("\n"));
        assertThat(secondsUntilRequested(newBackend))
                .as("6 s after the silence began the change counts as notified")
                .isLessThan(5.95);
    }

    @Test
    void aWatchThatNeverCompletesALineCountsAsSilent() throws Exception {
        StandIn newBackend = new StandIn(request -> okResponse("c"));
        start();
        assertThat(discovery.nextRequest()).contains("watch=1");
        discoveryRespondsAfter(0, newBackend);
        Socket watchSocket = discovery.newestConnection();
        runInBackground(() -> {
            while (true) {
                watchSocket.getOutputStream().write(chunk(" ").getBytes(StandardCharsets.ISO_8859_1));
                awaitLoopDelay(50_000);
            }
        });
        assertThat(secondsUntilRequested(newBackend)).isLessThan(4.5);
    }

    /** How a watch ends: with a normal close or a reset, between two lines or in the middle of one. */
    enum WatchEnd {
        CLOSE,
        RESET,
        TRUNCATED_BY_CLOSE,
        TRUNCATED_BY_RESET
    }

    @ParameterizedTest
    @EnumSource(WatchEnd.class)
    void aWatchThatEndsIsReopenedAndACompleteListThatOmitsABackendWithdrawsIt(WatchEnd end) throws Exception {
        StandIn newBackend = new StandIn(request -> okResponse("c"));
        start();
        assertThat(discovery.nextRequest()).contains("watch=1&after=41");
        assertThat(exchange(withCustomer(1, request("t1", "order", "")))).endsWith("for t1");
        discoveryRespondsAfter(0, newBackend);
        if (end == WatchEnd.TRUNCATED_BY_CLOSE || end == WatchEnd.TRUNCATED_BY_RESET) {
            discovery.send("200\r\n{\"seq\":42,\"whole\":false,\"hosts\":[{\"host\":\"b\",");
        }
        awaitPendingEvents();
        if (end == WatchEnd.RESET || end == WatchEnd.TRUNCATED_BY_RESET) {
            reset(discovery.newestConnection());
        } else {
            discovery.newestConnection().close();
        }
        assertThat(discovery.nextRequest())
                .as("the new watch starts after the last complete message")
                .contains("watch=1&after=41");
        assertThat(secondsUntilRequested(newBackend)).isLessThan(2);
        backend.requests.clear();
        assertThat(exchange(withCustomer(2, request("t2", "order", "")))).endsWith("c");
        assertThat(backend.requests).isEmpty();
    }
}
