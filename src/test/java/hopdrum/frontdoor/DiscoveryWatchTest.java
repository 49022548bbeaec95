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

/** The endpoint list: discovery's watch, its silence and its end, and the cached list. */
@Timeout(20)
class DiscoveryWatchTest extends FrontDoorFixture {
    @Test
    void aDrainingBackendGetsNothingNewAndAMalformedLineFetchesTheList() throws Exception {
        StandIn second = new StandIn(request -> okResponse("second"));
        start();
        assertThat(discovery.nextRequest()).contains("watch=1&after=41");
        exchange("GET /health/ready HTTP/1.1\r\n\r\n"); // answered once discovery's first line is written
        String broken = "{\"seq\":42,\n";
        String whole = "{\"seq\":43,\"whole\":true,\"hosts\":[" + hostJson("b", backend.address(), "terminating") + ","
                + hostJson("c", second.address(), "in_service") + "]}";
        discovery.responder = request -> okResponse(whole);
        discovery.send(chunk(broken));
        assertThat(discovery.nextRequest()).startsWith("GET /registry/instances HTTP/1.1");
        while (!exchange(request("t1", "checkout", "")).endsWith("second")) {
            assertThat(second.requests).isEmpty(); // the list is still on its way
        }
        assertThat(exchange(request("t2", "checkout", ""))).endsWith("second");
    }

    @Test
    void clientsWaitForDiscoverysFirstLineSinceTheCachedListMayBeOld() throws Exception {
        StandIn second = new StandIn(request -> okResponse("second"));
        CompletableFuture<Void> spoken = new CompletableFuture<>();
        String list = "{\"seq\":43,\"whole\":false,\"hosts\":[" + hostJson("b", backend.address(), "terminating") + ","
                + hostJson("c", second.address(), "in_service") + "]}\n";
        discovery.responder = request -> {
            spoken.join();
            return WATCH_HEAD + chunk(list);
        };
        start();
        Client early = new Client().send(request("t1", "order", ""));
        loop.execute(() -> loop.scheduleAfter(50_000, () -> spoken.complete(null)));
        assertThat(early.receive()).endsWith("second");
        assertThat(backend.requests).isEmpty();
    }

    @Test
    void theTimeoutForDiscoveryBeginsWithTheLoopAndNotBeforeALongWarmup() throws Exception {
        long startNanos = System.nanoTime();
        warmUp = () -> {
            while (System.nanoTime() - startNanos < 500_000_000L) {
                Warmup.run(Config.parse(configJson(hostJson("b", backend.address(), "in_service"))));
            }
        };
        clientsWaitForDiscoverysFirstLineSinceTheCachedListMayBeOld();
    }

    @Test
    void whileDiscoveryIsDownTheCachedListServes() throws Exception {
        discovery.responder = request -> NO_RESPONSE;
        start();
        assertThat(exchange(request("t1", "order", ""))).endsWith("for t1");
    }

    @Test
    void aWatchThatFallsSilentIsReopenedBeforeItsNextChangeIsDue() throws Exception {
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
    void aWatchSilentFromItsFirstByteIsReopenedBeforeItsChangeIsDue() throws Exception {
        StandIn c = new StandIn(request -> okResponse("c"));
        discoveryRespondsAfter(1, c);
        start();
        assertThat(secondsUntilRequested(c)).isLessThan(5);
    }

    @Test
    void aWatchSilentAfterAListAndTwoSilentFromTheirFirstByteAreReopenedBeforeTheirChangeIsDue() throws Exception {
        StandIn c = new StandIn(request -> okResponse("c"));
        start();
        assertThat(discovery.nextRequest()).contains("watch=1");
        discoveryRespondsAfter(2, c);
        discovery.send(chunk("\n"));
        assertThat(secondsUntilRequested(c))
                .as("6 s after the silence began the change counts as notified")
                .isLessThan(5.95);
    }

    @Test
    void aWatchThatSendsBytesWithoutEverEndingALineIsSilent() throws Exception {
        StandIn c = new StandIn(request -> okResponse("c"));
        start();
        assertThat(discovery.nextRequest()).contains("watch=1");
        discoveryRespondsAfter(0, c);
        Socket dribbling = discovery.newestConnection();
        runInBackground(() -> {
            while (true) {
                dribbling.getOutputStream().write(chunk(" ").getBytes(StandardCharsets.ISO_8859_1));
                awaitLoopDelay(50_000);
            }
        });
        assertThat(secondsUntilRequested(c)).isLessThan(4.5);
    }

    /** How a watch ends: in order or by a reset, between two lines or in the middle of one. */
    enum WatchEnd {
        IN_ORDER,
        RESET,
        CUT_IN_ORDER,
        CUT_BY_RESET
    }

    @ParameterizedTest
    @EnumSource(WatchEnd.class)
    void aWatchThatEndsIsReopenedAndACompleteListThatOmitsABackendWithdrawsIt(WatchEnd end) throws Exception {
        StandIn c = new StandIn(request -> okResponse("c"));
        start();
        assertThat(discovery.nextRequest()).contains("watch=1&after=41");
        assertThat(exchange(withCustomer(1, request("t1", "order", "")))).endsWith("for t1");
        discoveryRespondsAfter(0, c);
        if (end == WatchEnd.CUT_IN_ORDER || end == WatchEnd.CUT_BY_RESET) {
            discovery.send("200\r\n{\"seq\":42,\"whole\":false,\"hosts\":[{\"host\":\"b\",");
        }
        awaitPendingEvents();
        if (end == WatchEnd.RESET || end == WatchEnd.CUT_BY_RESET) {
            reset(discovery.newestConnection());
        } else {
            discovery.newestConnection().close();
        }
        assertThat(discovery.nextRequest())
                .as("from the last complete message on")
                .contains("watch=1&after=41");
        assertThat(secondsUntilRequested(c)).isLessThan(2);
        backend.requests.clear();
        assertThat(exchange(withCustomer(2, request("t2", "order", "")))).endsWith("c");
        assertThat(backend.requests).isEmpty();
    }
}
