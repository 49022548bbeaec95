package hopdrum.rig.trial;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Checks that the emulated path from a front door to a backend delays bytes, drops them while blocked and closes
 * connections.
 */
@Timeout(20)
class DelayingProxyTest {
    private static final int SILENCE_MS = 300;

    private ServerSocket target;
    private DelayingProxy proxy;

    @BeforeEach
    void open() throws IOException {
        target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        proxy = new DelayingProxy(target.getLocalPort());
    }

    @AfterEach
    void close() throws IOException {
        proxy.close();
        target.close();
    }

    private Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), proxy.port());
    }

    @Test
    void bytesPassInBothDirectionsAndSoDoesTheEndOfTheConnection() throws IOException {
        try (Socket client = connect();
                Socket server = target.accept()) {
            client.getOutputStream().write(1);
            assertThat(server.getInputStream().read()).isEqualTo(1);
            server.getOutputStream().write(2);
            assertThat(client.getInputStream().read()).isEqualTo(2);
            client.shutdownOutput();
            assertThat(server.getInputStream().read()).isNegative();
        }
    }

    @Test
    void firstBytesOfAConnectionTakeAnAdditionalRoundTrip() throws IOException {
        proxy.setDelay(50_000);
        long sentUs = EventJournal.nowUs();
        try (Socket client = connect()) {
            client.getOutputStream().write(1);
            try (Socket server = target.accept()) {
                assertThat(EventJournal.nowUs() - sentUs).isGreaterThanOrEqualTo(100_000);
                assertThat(server.getInputStream().read()).isEqualTo(1);
                assertThat(EventJournal.nowUs() - sentUs).isGreaterThanOrEqualTo(150_000);
            }
        }
    }

    @Test
    void noBytesPassWhileThePathIsBlockedAndItsConnectionsEndWhenItIsUnblocked() throws IOException {
        try (Socket client = connect();
                Socket server = target.accept()) {
            server.setSoTimeout(SILENCE_MS);
            proxy.block();
            client.getOutputStream().write(1);
            assertThatThrownBy(() -> server.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
            proxy.unblock();
            assertThat(server.getInputStream().read()).isNegative();
        }
        try (Socket client = connect();
                Socket server = target.accept()) {
            client.getOutputStream().write(2);
            assertThat(server.getInputStream().read()).isEqualTo(2);
        }
    }
}
