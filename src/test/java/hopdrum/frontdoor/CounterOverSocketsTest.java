package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.host.Outcome;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Calls to the counter over sockets. A counter that is silent or sends malformed responses must neither delay requests
 * nor have its responses matched to the wrong calls.
 */
@Timeout(20)
class CounterOverSocketsTest extends FrontDoorFixture {
    @Test
    void aCustomerBeyondItsQuotaIsRejectedWithRetryAfterAndNoAttemptIsSent() throws Exception {
        start();
        for (int other = 10; other < 20; other++) { // the first calls take longer than the counter's timeout
            exchange(request("o" + other, "order", "").replace("0007", "00" + other));
        }
        List<String> earlierCalls =
                counter.requests.stream().map(FrontDoorFixture::pathOf).toList();
        backend.requests.clear();
        counter.responder = request -> okResponse("99");
        assertThat(exchange(request("t1", "order", "")))
                .startsWith("HTTP/1.1 429 ")
                .contains("Retry-After: 0.");
        assertThat(nextCallExcept(earlierCalls)).contains("delta=1&");
        assertThat(nextCallExcept(earlierCalls)).contains("delta=-1&");
        assertThat(backend.requests).isEmpty();
    }

    @Test
    void aSilentCounterDoesNotBlockRequestsAndItsConnectionIsReplaced() throws Exception {
        counter.responder = request -> NO_RESPONSE;
        start();
        assertThat(exchange(request("t1", "checkout", ""))).endsWith("for t1");
        assertThat(counter.closedConnections.poll(10, TimeUnit.SECONDS))
                .as("the silent connection is abandoned")
                .isNotNull();
        counter.requests.clear();
        counter.responder = request -> okResponse("1");
        while (counter.requests.isEmpty()) {
            assertThat(exchange(request("t2", "checkout", ""))).startsWith("HTTP/1.1 ");
        }
        assertThat(counter.sockets)
                .as("a new connection replaces the silent one")
                .hasSizeGreaterThan(1);
    }

    @Test
    void aMalformedCounterResponseEndsItsCallAndTheCallsPipelinedAfterIt() throws Exception {
        loop = new EventLoop();
        BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
        CounterClient counterClient = new CounterClient(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), counter.listener.getLocalPort()),
                5_000_000,
                new ResourceBudget(1024, 1 << 20, 50_000),
                (name, outcome, total, tookUs) -> outcomes.add(outcome + " " + total));
        runInBackground(loop::run);
        for (String malformed :
                new String[] {okResponse("no number"), "HTTP/1.1 2", "HTTP/1.1 418 Other\r\nContent-Length: 0\r\n\r\n"
                }) {
            CompletableFuture<Void> bothCalled = new CompletableFuture<>();
            counter.responder = request -> {
                bothCalled.join();
                return malformed;
            };
            loop.execute(() -> counterClient.add(1, 1, 1000));
            loop.execute(() -> counterClient.add(1, 1, 1000));
            assertThat(counter.nextRequest()).isNotNull();
            bothCalled.complete(null);
            assertThat(outcomes.poll(10, TimeUnit.SECONDS)).isEqualTo("UNREADABLE 0.0");
            assertThat(outcomes.poll(10, TimeUnit.SECONDS)).isEqualTo("RESET 0.0");
            counter.responder = request -> okResponse("7");
            loop.execute(() -> counterClient.add(1, 1, 1000));
            assertThat(outcomes.poll(10, TimeUnit.SECONDS))
                    .as("succeeds on a new connection")
                    .isEqualTo("OK 7.0");
            counter.requests.clear();
        }
        loop.execute(loop::stop);
    }

    @Test
    void aCounterConnectionThatAloneFallsSilentIsReplacedAtItsFirstTimeout() throws Exception {
        loop = new EventLoop();
        BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
        CounterClient counterClient = new CounterClient(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), counter.listener.getLocalPort()),
                50_000,
                new ResourceBudget(1024, 1 << 20, 50_000),
                (name, outcome, total, tookUs) -> outcomes.add(name + " " + outcome));
        runInBackground(loop::run);
        counter.responder = request -> request.contains("/1?") ? NO_RESPONSE : okResponse("1");
        loop.execute(() -> counterClient.add(1, 1, 1000));
        loop.execute(() ->
                loop.scheduleAfter(10_000, () -> counterClient.add(2, 1, 1000))); // name 2 uses the other connection
        assertThat(outcomes.poll(10, TimeUnit.SECONDS)).isEqualTo("2 OK");
        assertThat(outcomes.poll(10, TimeUnit.SECONDS))
                .as("a reset, not a timeout of the counter")
                .isEqualTo("1 RESET");
        assertThat(counter.closedConnections.poll(10, TimeUnit.SECONDS)).isEqualTo(1);
        loop.execute(loop::stop);
    }

    /** Guards against calls that pile up without limit where the counter answers slowly but never falls silent. */
    @Test
    void callsBeyondTheMostThatMayBePendingAreNotMade() throws Exception {
        int calls = 6_000;
        loop = new EventLoop();
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        CounterClient counterClient = new CounterClient(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), counter.listener.getLocalPort()),
                60_000_000,
                new ResourceBudget(1024, 1 << 20, 50_000),
                (name, outcome, total, tookUs) -> outcomes.add(outcome));
        CompletableFuture<Void> released = new CompletableFuture<>();
        counter.responder = request -> {
            released.join();
            return okResponse("1");
        };
        runInBackground(loop::run);
        loop.execute(() -> counterClient.add(1, 1, 1000));
        assertThat(counter.nextRequest()).isNotNull();
        loop.execute(
                () -> { // in one event, so that no stall is noticed meanwhile
                    for (int i = 0; i < calls; i++) {
                        counterClient.add(1, 1, 1000);
                    }
                });
        loop.execute(() -> released.complete(null));
        int answered = 0;
        for (int i = 0; i <= calls; i++) {
            Outcome outcome = outcomes.poll(10, TimeUnit.SECONDS);
            assertThat(outcome).isIn(Outcome.OK, Outcome.CONNECT_FAILED);
            answered += outcome == Outcome.OK ? 1 : 0;
        }
        assertThat(answered).isBetween(1, 4096);
        loop.execute(loop::stop);
    }
}
