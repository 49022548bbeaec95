package hopdrum.frontdoor.connection;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Endpoint;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a new process at the address of one that has gone, and is taken for the old one. */
class BackendDirectoryTest {
    private final BackendDirectory directory = new BackendDirectory(List.of("z"), List.of("m"));

    private static DiscoveredBackend backend(String name, int port) {
        return new DiscoveredBackend(
                name,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                "z",
                "m",
                0,
                1,
                0,
                Endpoint.State.READY);
    }

    private ConnectionPool poolAfter(boolean complete, DiscoveredBackend... backends) {
        List<Endpoint> endpoints = directory.applyEndpointList(List.of(backends), complete);
        return directory.get(endpoints.get(0).backendId());
    }

    @Test
    void aBackendGetsNoAttemptsOnceAnotherOneHasComeUpAtItsAddress() {
        ConnectionPool former = poolAfter(true, backend("a", 7001));
        ConnectionPool successor = poolAfter(false, backend("b", 7001));
        assertThat(former.acceptsAttempts()).isFalse();
        assertThat(successor.acceptsAttempts()).isTrue();
        assertThat(poolAfter(false, backend("a", 7002)).acceptsAttempts())
                .as("it has come up again elsewhere")
                .isTrue();
    }

    @Test
    void backendsOfOneListMayShareAnAddress() {
        ConnectionPool first = poolAfter(true, backend("a", 7001), backend("b", 7001));
        assertThat(poolAfter(false, backend("b", 7001)).acceptsAttempts()).isTrue();
        assertThat(first.acceptsAttempts()).isTrue();
    }
}
