package hopdrum.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import hopdrum.fleet.config.FleetFile;
import hopdrum.fleet.config.InvalidFileException;
import hopdrum.fleet.config.TermsFile;
import hopdrum.fleet.message.Ballot;
import hopdrum.fleet.message.Codec;
import hopdrum.fleet.message.GossipUpdate;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import hopdrum.fleet.shards.AgreementTerms;
import hopdrum.fleet.store.Store;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against invalid input that is accepted, reported without its fault, or changes a member's state: fleet and
 * terms files with faults, malformed or truncated messages and frames, hellos that must be rejected, damaged stores.
 */
class BadInputTest {
    @TempDir
    Path folder;

    private static final Member MEMBER = new Member("n1", 5, 7, "north", "ams", 0, "127.0.0.1:9");

    private Path writeFleetFile(String text) throws IOException {
        return Files.writeString(folder.resolve("fleet.yaml"), text);
    }

    private String validFleetFile(int port, String name) {
        return "fleet: demo\noperator: north\nsite: ams\nname: " + name + "\nlisten: 127.0.0.1:" + port
                + "\nseeds: [\"127.0.0.1:" + port
                + "\"]\nfounders: [" + name + "]\nstore: " + folder.resolve("store-" + name) + "\nlog: "
                + folder.resolve(name + ".jsonl")
                + "\nprobe_period_ms: 100\nlease_ms: 500\n";
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @Test
    void allFaultsOfAFleetFileAreReportedTogetherWithTheirLines() throws IOException {
        Path file = writeFleetFile("""
                          fleet: demo
                          operator: no rth
                          site: ams
                          name: n0
                          listen: here
                          seeds: ["127.0.0.1:0"]
                          founders: n0
                          probe_period_ms: 1000
                          lease_ms: 900
                          colour: blue
                          """);
        assertThatThrownBy(() -> FleetFile.read(file))
                .isInstanceOf(InvalidFileException.class)
                .hasMessageContaining("fleet.yaml:2: operator: 'no rth', expected a name")
                .hasMessageContaining(":5: listen: 'here', expected a numeric address")
                .hasMessageContaining(":6: seeds: '127.0.0.1:0', expected")
                .hasMessageContaining(":7: founders: is not a list, expected a list")
                .hasMessageContaining(":9: lease_ms: 900, expected at least five times probe_period_ms")
                .hasMessageContaining(":10: colour: is not a known key")
                .hasMessageContaining("store: is missing, expected a folder");
        assertThatThrownBy(() -> FleetFile.read(writeFleetFile("a: [\n"))).hasMessageContaining("invalid YAML");
        assertThatThrownBy(() -> FleetFile.read(folder.resolve("none.yaml"))).hasMessageContaining("cannot be read");
    }

    @Test
    void allFaultsOfATermsFileAreReportedTogetherWithTheirLines() throws IOException {
        Path file = Files.writeString(folder.resolve("terms.yaml"), """
                agreement: pact
                revision: 1
                parties: ["north brings many"]
                until: tomorrow
                alone_ms: 999999
                colour: blue
                """);
        assertThatThrownBy(() -> TermsFile.read(file))
                .isInstanceOf(InvalidFileException.class)
                .hasMessageContaining("terms.yaml:3: parties: 'north brings many', expected a party")
                .hasMessageContaining(":4: until: 'tomorrow', expected a time")
                .hasMessageContaining(":5: alone_ms: '999999', expected")
                .hasMessageContaining(":6: colour: is not a known key");
        Path twice = Files.writeString(folder.resolve("twice.yaml"), """
                agreement: pact
                revision: 1
                until: 2030-01-01T00:00:00Z
                parties: ["north brings 1, owed 1, floor 0", "north brings 2, owed 1, floor 0"]
                """);
        assertThatThrownBy(() -> TermsFile.read(twice)).hasMessageContaining("a party twice");
    }

    @Property(tries = 500)
    void arbitraryBytesAreDecodedOrRejectedWithAMessageOfOneLine(@ForAll byte[] bytes) {
        try {
            assertThat(Codec.decode(bytes)).isNotNull();
        } catch (IllegalArgumentException e) {
            assertThat(e.getMessage()).doesNotContain("\n");
        }
    }

    @Test
    void bytesWhoseMessageTypeIsNotAStringAreRejected() { // Jackson throws a NullPointerException for these two inputs
        for (String bytes : List.of("8141beff93", "8140a49a98778c28bf")) {
            assertThatThrownBy(() -> Codec.decode(HexFormat.of().parseHex(bytes)))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageStartingWith("malformed message");
        }
    }

    @Test
    void messagesSurviveARoundTripAndTruncatedOrInvalidOnesAreRejected() {
        View view = new View(9, 3, List.of(MEMBER));
        List<Message> all = List.of(
                new Message.Hello(1, "demo", MEMBER),
                new Message.Ping(4, 9, 3, List.of(new GossipUpdate(MEMBER, 2, GossipUpdate.State.SUSPECT, "n2"))),
                new Message.Promise(9, 3, new Ballot(2, "n1"), null, null),
                new Message.ViewSettled(view),
                new Message.LeaseGranted(9, 3, 77));
        for (Message message : all) {
            byte[] bytes = Codec.encode(message);
            assertThat(Codec.decode(bytes)).isEqualTo(message);
            assertThatThrownBy(() -> Codec.decode(Arrays.copyOf(bytes, bytes.length - 1)))
                    .isInstanceOf(IllegalArgumentException.class);
        }
        assertThatThrownBy(() -> new Member("n1", -5, 7, "north", "ams", 0, "127.0.0.1:9"))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new Member("n1", 5, 7, "north", "ams", 0, "example.org:9"))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new View(9, 3, List.of(MEMBER, MEMBER))).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new Message.Accept(9, 3, Ballot.NONE, new View(9, 5, List.of(MEMBER))))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new GossipUpdate(MEMBER, Long.MAX_VALUE, GossipUpdate.State.ALIVE, "n1"))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void aTruncatedStoreIsRenamedWithAReasonAndAnOpenStoreIsLocked() throws IOException {
        Path store = folder.resolve("store");
        try (Store first = new Store(store)) {
            first.write(new Store.DurableState(7, 5, new View(9, 3, List.of(MEMBER)), new Ballot(2, "n1"), null, null));
            assertThat(first.read().view().members()).containsExactly(MEMBER);
            assertThatThrownBy(() -> new Store(store)).isInstanceOf(IOException.class);
        }
        byte[] bytes = Files.readAllBytes(store.resolve("member.cbor"));
        for (int length : new int[] {0, 5, 12, bytes.length - 1}) {
            Files.write(store.resolve("member.cbor"), Arrays.copyOf(bytes, length));
            try (Store reopened = new Store(store)) {
                assertThat(reopened.read()).isNull();
                assertThat(reopened.damage()).isNotBlank();
                assertThat(reopened.read()).isNull();
                assertThat(reopened.damage()).isNull(); // the damaged file has been renamed, so that there is none
            }
        }
    }

    private static void send(Socket to, Message... messages) throws IOException {
        for (Message message : messages) {
            byte[] body = Codec.encode(message);
            to.getOutputStream()
                    .write(ByteBuffer.allocate(4 + body.length)
                            .putInt(body.length)
                            .put(body)
                            .array());
        }
    }

    private static Message receive(Socket from) throws IOException {
        DataInputStream in = new DataInputStream(from.getInputStream());
        byte[] body = new byte[in.readInt()];
        in.readFully(body);
        return Codec.decode(body);
    }

    @Test
    void peersThatAreRejectedOrSendMalformedFramesAreDisconnectedAndChangeNoState() throws Exception {
        int port = freePort();
        Path log = folder.resolve("n0.jsonl");
        FleetFile file = FleetFile.read(writeFleetFile(validFleetFile(port, "n0")));
        try (Fleet fleet = Fleet.start(file, AgreementTerms.NONE, 0, 0, 1, 0)) {
            Awaitility.await()
                    .atMost(10, TimeUnit.SECONDS)
                    .until(() -> Files.readString(log).contains("\"event\":\"view\""));
            Member unknownOperator = new Member("x", 5, 7, "south", "ams", 0, "127.0.0.1:9");
            for (Message.Hello hello : List.of(
                    new Message.Hello(Message.VERSION, "other", MEMBER),
                    new Message.Hello(Message.VERSION, "demo", unknownOperator),
                    new Message.Hello(1, "demo", MEMBER),
                    new Message.Hello(Message.VERSION, "demo", 8, 1_000, MEMBER))) {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    send(socket, hello);
                    assertThat(receive(socket)).isInstanceOf(Message.HelloRejected.class);
                    assertThat(socket.getInputStream().read()).isNegative();
                }
            }
            for (byte[] bytes : List.of(
                    new byte[] {-1, -1, -1, -1, 0}, new byte[] {0x7f, 0, 0, 0}, new byte[] {0, 0, 0, 2, 9, 9})) {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    send(socket, new Message.Hello(Message.VERSION, "demo", MEMBER));
                    assertThat(receive(socket)).isInstanceOf(Message.Hello.class);
                    socket.getOutputStream().write(bytes);
                    assertThat(socket.getInputStream().read()).isNegative();
                }
            }
            Awaitility.await()
                    .atMost(5, TimeUnit.SECONDS)
                    .until(() -> Files.readString(log).contains("\"event\":\"peer_dropped\""));
            assertThat(Files.readString(log)).doesNotContain("\"who\":\"n1\"").doesNotContain("\"who\":\"x\"");
            fleet.leave();
        }
        Awaitility.await()
                .atMost(5, TimeUnit.SECONDS)
                .until(() -> Thread.getAllStackTraces().keySet().stream()
                        .noneMatch(thread -> thread.getName().startsWith("fleet-")));
    }
}
