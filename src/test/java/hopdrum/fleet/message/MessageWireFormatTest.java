package hopdrum.fleet.message;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.fleet.store.Store;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that one message of each type and two stored records encode to recorded bytes. Guards against a renamed Java
 * member that changes the wire format or the stored format, so that front doors of different builds no longer
 * understand each other, or no longer read their stores. The bytes were recorded with a build from before such
 * renames; {@code wire-bytes-v2.txt} has one line {@code key hex} for each.
 */
class MessageWireFormatTest {
    private static final long ERA = 1_000_000;
    private static final Member FIRST = new Member("m001", 5, 77, "opa", "east", 0, "10.0.0.1:7000", "10.0.0.1:8000");
    private static final Member SECOND = new Member("m002", 6, -3, "opb", "west", 1, "[::1]:7001");
    private static final Ballot BALLOT = new Ballot(4, "m001");

    private static PartnerAgreement agreement() {
        return new PartnerAgreement(
                "deal",
                1,
                List.of(new PartnerAgreement.Party("opa", 10, 6, 2), new PartnerAgreement.Party("opb", 10, 4, 1)),
                1000,
                2000,
                30000,
                true,
                3,
                60000,
                5000);
    }

    private static View viewWithShards() {
        ShardAssignment assignment = new ShardAssignment(
                1234,
                List.of("opa", "opb"),
                "AB-A",
                List.of(new ShardAssignment.Move(1, "opa", 2, 99)),
                agreement(),
                List.of("opa"),
                false,
                Map.of("opb", 77L),
                2,
                1);
        return new View(ERA, 3, List.of(FIRST, SECOND), assignment);
    }

    private static View nextView() {
        return new View(ERA, 4, List.of(FIRST, SECOND));
    }

    /** Returns one message of each type, under its key in {@code wire-bytes-v2.txt}. */
    private static Map<String, Message> oneMessageOfEachType() {
        GossipUpdate update = new GossipUpdate(FIRST, 2, GossipUpdate.State.SUSPECT, "m002");
        LatencyReading reading = new LatencyReading("m001", 5, "east", "west", 3, 1500, 20);
        AgreementProposal proposal = new AgreementProposal(agreement(), "opa", Map.of("opb", "", "opa", "no"));
        Map<String, Message> messages = new LinkedHashMap<>();
        messages.put("hello", new Message.Hello(2, "fleet1", 256, 30000, FIRST));
        messages.put("turneddown", new Message.HelloRejected("why"));
        messages.put("ping", new Message.Ping(1, ERA, 3, List.of(update)));
        messages.put("ack", new Message.Ack(2, ERA, 3, List.of()));
        messages.put("pingfor", new Message.PingRequest(3, SECOND, List.of(update)));
        messages.put("nack", new Message.Nack(4));
        messages.put("exchange", new Message.FullStateExchange(true, ERA, 3, List.of(update)));
        messages.put("taken", new Message.NameTaken(FIRST));
        messages.put("latency", new Message.LatencyExchange(5, false, List.of(reading)));
        messages.put("prepare", new Message.Prepare(ERA, 3, BALLOT));
        messages.put("promise", new Message.Promise(ERA, 3, BALLOT, BALLOT, viewWithShards()));
        messages.put("promise_empty", new Message.Promise(ERA, 3, BALLOT, null, null));
        messages.put("accept", new Message.Accept(ERA, 3, BALLOT, nextView()));
        messages.put("accepted", new Message.Accepted(ERA, 3, BALLOT));
        messages.put("overruled", new Message.Preempted(ERA, 3, BALLOT));
        messages.put("settled", new Message.ViewSettled(viewWithShards()));
        messages.put("asksettled", new Message.SettledViewRequest(ERA, 3));
        messages.put("renew", new Message.LeaseRenewalRequest(ERA, 3, 7));
        messages.put("renewed", new Message.LeaseRenewalResponse(ERA, 3, 7, 123_456));
        messages.put("held", new Message.LeaseGranted(ERA, 3, 123));
        messages.put("offers", new Message.AgreementProposals(List.of(proposal)));
        messages.put("opened", new Message.ShardsHandedOver(ERA, Map.of(1, 2L)));
        return messages;
    }

    private static Map<String, String> expectedHex() throws IOException {
        Map<String, String> expected = new HashMap<>();
        try (InputStream in = MessageWireFormatTest.class.getResourceAsStream("wire-bytes-v2.txt")) {
            assertThat(in).as("wire-bytes-v2.txt on the test class path").isNotNull();
            new String(in.readAllBytes(), StandardCharsets.US_ASCII).lines().forEach(line -> {
                String[] keyAndHex = line.split(" ", 2);
                expected.put(keyAndHex[0], keyAndHex[1]);
            });
        }
        return expected;
    }

    @Test
    void everyMessageTypeEncodesToTheRecordedBytesAndDecodesBackEqual() throws IOException {
        Map<String, String> expected = expectedHex();
        Map<String, Message> messages = oneMessageOfEachType();
        assertThat(messages).hasSize(22);
        for (Map.Entry<String, Message> entry : messages.entrySet()) {
            byte[] bytes = Codec.encode(entry.getValue());
            assertThat(HexFormat.of().formatHex(bytes)).as(entry.getKey()).isEqualTo(expected.get(entry.getKey()));
            assertThat(Codec.decode(bytes)).as(entry.getKey()).isEqualTo(entry.getValue());
        }
    }

    @Test
    void aStoredRecordIsWrittenAsTheRecordedBytesAndReadsBackEqual(
            @TempDir Path fullDirectory, @TempDir Path emptyDirectory) throws IOException {
        Map<String, String> expected = expectedHex();
        assertStoredAs(
                fullDirectory,
                new Store.DurableState(77, 5, viewWithShards(), BALLOT, BALLOT, nextView()),
                expected.get("store"));
        assertStoredAs(
                emptyDirectory,
                new Store.DurableState(77, 5, View.NONE, Ballot.NONE, null, null),
                expected.get("store_empty"));
    }

    private static void assertStoredAs(Path directory, Store.DurableState state, String expectedHex)
            throws IOException {
        try (Store store = new Store(directory)) {
            store.write(state);
            assertThat(HexFormat.of().formatHex(Files.readAllBytes(directory.resolve("member.cbor"))))
                    .isEqualTo(expectedHex);
            assertThat(store.read()).isEqualTo(state);
        }
    }
}
