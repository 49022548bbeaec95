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
 * Pins the fleet's bytes: one message of each kind, and two stored records, must encode exactly as the code before the
 * renames of issue 29 encoded them. The expected bytes were produced by that code and are kept in
 * {@code wire-bytes-v2.txt}, one {@code key hex} line each.
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

    private static View viewWithDivision() {
        ShardAssignment division = new ShardAssignment(
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
        return new View(ERA, 3, List.of(FIRST, SECOND), division);
    }

    private static View nextView() {
        return new View(ERA, 4, List.of(FIRST, SECOND));
    }

    /** One message of each kind that Message names, keyed as in the file. */
    private static Map<String, Message> oneOfEachKind() {
        GossipUpdate update = new GossipUpdate(FIRST, 2, GossipUpdate.State.SUSPECT, "m002");
        LatencyReading reading = new LatencyReading("m001", 5, "east", "west", 3, 1500, 20);
        AgreementProposal offer = new AgreementProposal(agreement(), "opa", Map.of("opb", "", "opa", "no"));
        Map<String, Message> all = new LinkedHashMap<>();
        all.put("hello", new Message.Hello(2, "fleet1", 256, 30000, FIRST));
        all.put("turneddown", new Message.HelloRejected("why"));
        all.put("ping", new Message.Ping(1, ERA, 3, List.of(update)));
        all.put("ack", new Message.Ack(2, ERA, 3, List.of()));
        all.put("pingfor", new Message.PingRequest(3, SECOND, List.of(update)));
        all.put("nack", new Message.Nack(4));
        all.put("exchange", new Message.FullStateExchange(true, ERA, 3, List.of(update)));
        all.put("taken", new Message.NameTaken(FIRST));
        all.put("latency", new Message.LatencyExchange(5, false, List.of(reading)));
        all.put("prepare", new Message.Prepare(ERA, 3, BALLOT));
        all.put("promise", new Message.Promise(ERA, 3, BALLOT, BALLOT, viewWithDivision()));
        all.put("promise_empty", new Message.Promise(ERA, 3, BALLOT, null, null));
        all.put("accept", new Message.Accept(ERA, 3, BALLOT, nextView()));
        all.put("accepted", new Message.Accepted(ERA, 3, BALLOT));
        all.put("overruled", new Message.Preempted(ERA, 3, BALLOT));
        all.put("settled", new Message.ViewSettled(viewWithDivision()));
        all.put("asksettled", new Message.SettledViewRequest(ERA, 3));
        all.put("renew", new Message.LeaseRenewalRequest(ERA, 3, 7));
        all.put("renewed", new Message.LeaseRenewalResponse(ERA, 3, 7, 123_456));
        all.put("held", new Message.LeaseGranted(ERA, 3, 123));
        all.put("offers", new Message.AgreementProposals(List.of(offer)));
        all.put("opened", new Message.ShardsHandedOver(ERA, Map.of(1, 2L)));
        return all;
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
    void everyMessageKindEncodesToTheBytesOfTheCodeBeforeTheRenamesAndDecodesBackEqual() throws IOException {
        Map<String, String> expected = expectedHex();
        Map<String, Message> messages = oneOfEachKind();
        assertThat(messages).hasSize(22);
        for (Map.Entry<String, Message> kind : messages.entrySet()) {
            byte[] bytes = Codec.encode(kind.getValue());
            assertThat(HexFormat.of().formatHex(bytes)).as(kind.getKey()).isEqualTo(expected.get(kind.getKey()));
            assertThat(Codec.decode(bytes)).as(kind.getKey()).isEqualTo(kind.getValue());
        }
    }

    @Test
    void aStoredRecordIsWrittenAsTheCodeBeforeTheRenamesWroteItAndReadsBackEqual(
            @TempDir Path full, @TempDir Path empty) throws IOException {
        Map<String, String> expected = expectedHex();
        assertStoredAs(
                full,
                new Store.DurableState(77, 5, viewWithDivision(), BALLOT, BALLOT, nextView()),
                expected.get("store"));
        assertStoredAs(
                empty, new Store.DurableState(77, 5, View.NONE, Ballot.NONE, null, null), expected.get("store_empty"));
    }

    private static void assertStoredAs(Path folder, Store.DurableState kept, String hex) throws IOException {
        try (Store store = new Store(folder)) {
            store.write(kept);
            assertThat(HexFormat.of().formatHex(Files.readAllBytes(folder.resolve("member.cbor"))))
                    .isEqualTo(hex);
            assertThat(store.read()).isEqualTo(kept);
        }
    }
}
