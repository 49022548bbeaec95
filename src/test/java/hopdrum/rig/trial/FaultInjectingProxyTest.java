package hopdrum.rig.trial;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks each fault of a link on messages from member "a" through the proxy in front of member "b". */
@Timeout(20)
class FaultInjectingProxyTest {
    private static final ObjectMapper CBOR = new CBORMapper();
    private static final int SILENCE_MS = 300;

    private final NetworkFaults network = new NetworkFaults();
    private final LinkFaults link = network.linkFaults("a", "b");
    private ServerSocket target;
    private FaultInjectingProxy proxy;
    private Socket sender;
    private Socket receiver;
    private DataInputStream received;

    @BeforeEach
    void connect() throws IOException {
        target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        proxy = new FaultInjectingProxy("b", target.getLocalPort(), network, 1);
        sender = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        send(Map.of("is", "hello", "who", Map.of("name", "a")));
        receiver = target.accept();
        receiver.setSoTimeout(SILENCE_MS);
        received = new DataInputStream(receiver.getInputStream());
        assertThat(receive().path("is").asText()).isEqualTo("hello");
    }

    @AfterEach
    void close() throws IOException {
        sender.close();
        receiver.close();
        proxy.close();
        target.close();
    }

    private void send(Map<String, Object> message) throws IOException {
        byte[] body = CBOR.writeValueAsBytes(message);
        byte[] frame = ByteBuffer.allocate(4 + body.length)
                .putInt(body.length)
                .put(body)
                .array();
        sender.getOutputStream().write(frame);
    }

    private void send(int number) throws IOException {
        send(Map.of("is", "test", "number", number));
    }

    private JsonNode receive() throws IOException {
        byte[] body = new byte[received.readInt()];
        received.readFully(body);
        return CBOR.readTree(body);
    }

    private int receiveNumber() throws IOException {
        return receive().path("number").asInt();
    }

    private void assertSilence() {
        assertThatThrownBy(() -> received.readInt()).isInstanceOf(SocketTimeoutException.class);
    }

    @Test
    void aLinkWithoutFaultsPassesMessagesInOrder() throws IOException {
        send(1);
        send(2);
        assertThat(receiveNumber()).isEqualTo(1);
        assertThat(receiveNumber()).isEqualTo(2);
    }

    @Test
    void aPartitionDropsMessagesUntilItIsCleared() throws IOException {
        link.partition();
        send(1);
        assertSilence();
        link.clear();
        send(2);
        assertThat(receiveNumber()).isEqualTo(2);
    }

    @Test
    void aHeldLinkDeliversItsMessagesOnceItIsCleared() throws IOException {
        link.hold();
        send(1);
        send(2);
        assertSilence();
        link.clear();
        assertThat(receiveNumber()).isEqualTo(1);
        assertThat(receiveNumber()).isEqualTo(2);
    }

    @Test
    void aMessageIsLostOrDuplicatedAtTheGivenRate() throws IOException {
        link.setDuplicationRate(1);
        send(1);
        assertThat(receiveNumber()).isEqualTo(1);
        assertThat(receiveNumber()).isEqualTo(1);
        link.setLossRate(1);
        send(2);
        assertSilence();
    }

    @Test
    void aDelayedMessageArrivesNoSoonerThanItsDelay() throws IOException {
        receiver.setSoTimeout(0);
        link.setDelay(200_000);
        long sentUs = EventJournal.nowUs();
        send(1);
        assertThat(receiveNumber()).isEqualTo(1);
        assertThat(EventJournal.nowUs() - sentUs).isGreaterThanOrEqualTo(200_000);
    }

    @Test
    void aMessageArrivesNoSoonerThanTheBandwidthLimitAllows() throws IOException {
        receiver.setSoTimeout(0);
        link.setBandwidth(100);
        long sentUs = EventJournal.nowUs();
        send(Map.of("is", "test", "text", "x".repeat(40)));
        receive();
        assertThat(EventJournal.nowUs() - sentUs).isGreaterThanOrEqualTo(400_000);
    }

    @Test
    void onlyConnectionsOfTheGivenMembersAreReset() throws IOException {
        proxy.reset(Set.of("c"));
        send(1);
        assertThat(receiveNumber()).isEqualTo(1);
        proxy.reset(Set.of("a"));
        sender.setSoTimeout(5_000);
        assertThatThrownBy(() -> {
                    if (sender.getInputStream().read() < 0) {
                        throw new IOException("ended");
                    }
                })
                .isInstanceOf(IOException.class)
                .isNotInstanceOf(SocketTimeoutException.class);
    }

    @Test
    void onlyTheSendersOwnReadingsAreFalsified() throws IOException {
        network.falsifyLatencies("a", 3);
        List<Map<String, Object>> readings =
                List.of(Map.of("observer", "a", "rttUs", 100), Map.of("observer", "c", "rttUs", 100));
        send(Map.of("is", "latency", "readings", readings));
        JsonNode arrived = receive().path("readings");
        assertThat(arrived.path(0).path("rttUs").asLong()).isEqualTo(300);
        assertThat(arrived.path(1).path("rttUs").asLong()).isEqualTo(100);
    }
}
