package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Attempts and retries whose connection comes up late. */
@Timeout(20)
class LateConnectionTest extends FrontDoorFixture {
    @Test
    void anAttemptWhoseConnectionComesUpLateStatesTheTimeThatIsLeftThen() throws Exception {
        changeSetting("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000");
        LateConnectingBackend late = closeAtEnd(new LateConnectingBackend());
        start(hostJson("b", late.address(), "in_service"));
        long fromNanos = System.nanoTime();
        Client client = new Client().send(request("t1", "checkout", ""));
        awaitLoopDelay(100_000);
        late.acceptConnections();
        String request = late.requests.poll(10, TimeUnit.SECONDS);
        long tookMs = (System.nanoTime() - fromNanos) / 1_000_000;
        assertThat(tookMs).as("the kernel's second SYN").isGreaterThan(500);
        assertThat(Long.parseLong(field(request, "X-Expires-In-Ms"))).isLessThanOrEqualTo(2_000 - tookMs + 100);
        assertThat(client.receive()).endsWith("for t1");
    }

    @Test
    void aBackendThatDrainsWhileAConnectionToItComesUpGetsNothingOnIt() throws Exception {
        changeSetting("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000");
        changeSetting("\"AttemptsCap\":1", "\"AttemptsCap\":3");
        LateConnectingBackend late = closeAtEnd(new LateConnectingBackend());
        start(hostJson("late", late.address(), "in_service"));
        Client client = new Client().send(request("t1", "order", ""));
        awaitLoopDelay(100_000); // its backend is picked, and the connection is pending
        discovery.send(chunk("{\"seq\":42,\"whole\":false,\"hosts\":[" + hostJson("late", late.address(), "terminating")
                + "," + hostJson("b", backend.address(), "in_service") + "]}\n"));
        late.acceptConnections();
        assertThat(client.receive()).as("retried elsewhere").endsWith("for t1");
        assertThat(late.requests).isEmpty();
        assertThat(backend.requests).hasSize(1);
    }

    @Test
    void aRetryWhoseConnectionComesUpAfterItsDeduplicationWindowIsNotSent() throws Exception {
        changeSetting("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000");
        changeSetting("\"AttemptsCap\":1", "\"AttemptsCap\":3");
        changeSetting("\"WindowUs\":6000000", "\"WindowUs\":400000");
        changeSetting("\"Cancel\":true", "\"Cancel\":false");
        LateConnectingBackend late = closeAtEnd(new LateConnectingBackend());
        backend.responder = request -> { // meanwhile the other backend joins, to which the retry goes
            runInBackground(() -> {
                discovery.send(chunk("{\"seq\":42,\"whole\":false,\"hosts\":["
                        + hostJson("late", late.address(), "in_service") + "]}\n"));
                awaitPendingEvents();
                backend.send("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
            });
            return NO_RESPONSE;
        };
        start();
        Client client = new Client().send(request("t1", "checkout", ""));
        assertThat(backend.nextRequest()).contains("t1");
        awaitLoopDelay(100_000); // its retry waits for the connection
        late.acceptConnections();
        assertThat(client.receive()).startsWith("HTTP/1.1 503 "); // all backends drop duplicates within the window
        assertThat(late.connections.poll(10, TimeUnit.SECONDS)).isNotNull();
        awaitPendingEvents();
        assertThat(late.requests).isEmpty();
    }
}
