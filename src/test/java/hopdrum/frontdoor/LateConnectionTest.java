package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Attempts and retries whose backend connection is established late. By then less time is left, the backend may drain,
 * and the deduplication window may have ended.
 */
@Timeout(20)
class LateConnectionTest extends FrontDoorFixture {
    @Test
    void anAttemptOnALateConnectionStatesTheTimeThatIsLeftWhenItIsSent() throws Exception {
        changeSetting("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000");
        LateConnectingBackend lateBackend = closeAtEnd(new LateConnectingBackend());
        start(hostJson("b", lateBackend.address(), "in_service"));
        long startNanos = System.nanoTime();
        Client client = new Client().send(request("t1", "checkout", ""));
        awaitLoopDelay(100_000);
        lateBackend.acceptConnections();
        String request = lateBackend.requests.poll(10, TimeUnit.SECONDS);
        long tookMs = (System.nanoTime() - startNanos) / 1_000_000;
        assertThat(tookMs).as("established by the kernel's second SYN").isGreaterThan(500);
        assertThat(Long.parseLong(field(request, "X-Expires-In-Ms"))).isLessThanOrEqualTo(2_000 - tookMs + 100);
        assertThat(client.receive()).endsWith("for t1");
    }

    @Test
    void aBackendThatDrainsWhileAConnectionToItIsPendingGetsNoRequestOnIt() throws Exception {
        changeSetting("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000");
        changeSetting("\"AttemptsCap\":1", "\"AttemptsCap\":3");
        LateConnectingBackend lateBackend = closeAtEnd(new LateConnectingBackend());
        start(hostJson("late", lateBackend.address(), "in_service"));
        Client client = new Client().send(request("t1", "order", ""));
        awaitLoopDelay(100_000); // the backend is selected and the connection is pending
        discovery.send(
                chunk("{\"seq\":42,\"whole\":false,\"hosts\":[" + hostJson("late", lateBackend.address(), "terminating")
                        + "," + hostJson("b", backend.address(), "in_service") + "]}\n"));
        lateBackend.acceptConnections();
        assertThat(client.receive()).as("retried on the other backend").endsWith("for t1");
        assertThat(lateBackend.requests).isEmpty();
        assertThat(backend.requests).hasSize(1);
    }

    @Test
    void aRetryWhoseConnectionIsEstablishedAfterItsDeduplicationWindowIsNotSent() throws Exception {
        changeSetting("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000");
        changeSetting("\"AttemptsCap\":1", "\"AttemptsCap\":3");
        changeSetting("\"WindowUs\":6000000", "\"WindowUs\":400000");
        changeSetting("\"Cancel\":true", "\"Cancel\":false");
        LateConnectingBackend lateBackend = closeAtEnd(new LateConnectingBackend());
        backend.responder = request -> { // the late backend joins before the failure and gets the retry
            runInBackground(() -> {
                discovery.send(chunk("{\"seq\":42,\"whole\":false,\"hosts\":["
                        + hostJson("late", lateBackend.address(), "in_service") + "]}\n"));
                awaitPendingEvents();
                backend.send("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
            });
            return NO_RESPONSE;
        };
        start();
        Client client = new Client().send(request("t1", "checkout", ""));
        assertThat(backend.nextRequest()).contains("t1");
        awaitLoopDelay(100_000); // the retry waits for its connection
        lateBackend.acceptConnections();
        assertThat(client.receive()).startsWith("HTTP/1.1 503 "); // all backends deduplicate within the window
        assertThat(lateBackend.connections.poll(10, TimeUnit.SECONDS)).isNotNull();
        awaitPendingEvents();
        assertThat(lateBackend.requests).isEmpty();
    }
}
