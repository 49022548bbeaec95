package hopdrum.rig.faulty;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import hopdrum.fleet.message.Codec;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Violates a rule of the fleet once, from a thread in the process of the product. Depending on the fault, the thread
 * appends a forged line to the product's log, or sends peers a view that no majority has accepted.
 */
final class RogueMember {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long DELAY_MS = 4_500; // the fleet has settled on a view by then
    private static final long FORGED_LEASE_US = 5_000_000;
    private static final String FORGED_AGREEMENT =
            "{\"revision\":9,\"moves\":1,\"epoch_ms\":60000,\"parties\":{\"north\":[1,1,0],\"south\":[1,1,0]}}";

    private final Fault fault;
    private final Path fleetFile;

    RogueMember(Fault fault, Path fleetFile) {
        this.fault = fault;
        this.fleetFile = fleetFile;
    }

    /** Starts the daemon thread that violates the rule after a delay of 4.5 seconds. */
    void startThread() {
        Thread thread = new Thread(this::violateRuleAfterDelay, "fault");
        thread.setDaemon(true);
        thread.start();
    }

    private void violateRuleAfterDelay() {
        try {
            Thread.sleep(DELAY_MS);
            violateRule();
        } catch (IOException e) {
            System.err.println("faulty server: violating the rule failed: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void violateRule() throws IOException {
        Path log = Path.of(readFleetSetting("log"));
        Map<String, ObjectNode> lastLineByEvent = readLastLineByEvent(log);
        long nowUs = System.nanoTime() / 1000;
        switch (fault) {
            case ACTS_ON_ALL -> forgeActsOnAll(log, lastLineByEvent.get("acts"), nowUs);
            case LONE_TERMS -> forgeDivision(log, lastLineByEvent.get("division"), nowUs);
            case GOES_BACK ->
                append(log, lastLineByEvent.get("view").put("number", 0).put("mono_us", nowUs));
            case OLD_START -> append(log, lastLineByEvent.get("starts").put("mono_us", nowUs));
            case LONE_VIEW, TWO_VIEWS -> sendForgedViews(lastLineByEvent.get("starts"), lastLineByEvent.get("view"));
            default -> throw new IllegalStateException("not a fault of a fleet member: " + fault);
        }
    }

    /** Returns the value of a top-level key that has a line of its own in the fleet file. */
    private String readFleetSetting(String key) throws IOException {
        String prefix = key + ": ";
        for (String line : Files.readAllLines(fleetFile)) {
            if (line.startsWith(prefix)) {
                return line.substring(prefix.length());
            }
        }
        throw new IOException("no key " + key + " in " + fleetFile);
    }

    // ---- Forged log lines ----

    private static Map<String, ObjectNode> readLastLineByEvent(Path log) throws IOException {
        Map<String, ObjectNode> lastLineByEvent = new HashMap<>();
        for (String line : Files.readAllLines(log)) {
            ObjectNode event = (ObjectNode) JSON.readTree(line);
            lastLineByEvent.put(event.path("event").asText(), event);
        }
        return lastLineByEvent;
    }

    private static void forgeActsOnAll(Path log, ObjectNode acts, long nowUs) throws IOException {
        append(
                log,
                acts.put("on", acts.path("on").asText().replace('-', 'x'))
                        .put("mono_us", nowUs)
                        .put("until_us", nowUs + FORGED_LEASE_US));
    }

    private static void forgeDivision(Path log, ObjectNode division, long nowUs) throws IOException {
        long number = division.path("number").asLong();
        division.put("number", number + 1).put("mono_us", nowUs).set("agreement", JSON.readTree(FORGED_AGREEMENT));
        append(log, division);
        division.put("number", number + 2)
                .put("mono_us", nowUs + 1)
                .put("owners", division.path("owners").asText().replace('B', 'A'));
        append(log, division);
    }

    private static void append(Path log, JsonNode line) throws IOException {
        Files.writeString(log, JSON.writeValueAsString(line) + "\n", StandardOpenOption.APPEND);
    }

    // ---- Views that no majority has accepted ----

    private void sendForgedViews(JsonNode starts, JsonNode view) throws IOException {
        Member self = new Member(
                starts.path("name").asText(),
                starts.path("start").asLong(),
                starts.path("voter").asLong(),
                starts.path("operator").asText(),
                starts.path("site").asText(),
                starts.path("gateway").asInt(),
                starts.path("address").asText());
        String fleet = readFleetSetting("fleet");
        String[] peers = readFleetSetting("seeds").replaceAll("[\\[\\]\" ]", "").split(",", -1);
        long number = view.path("number").asLong() + 1;
        for (int i = 0; i < peers.length; i++) {
            List<Member> members = new ArrayList<>(List.of(self));
            if (fault == Fault.TWO_VIEWS && i > 0) {
                members.add(new Member("zz" + i, 1, 1, self.operator(), "here", 9, "127.0.0.1:9"));
            }
            if (!peers[i].equals(self.address())) {
                sendView(peers[i], fleet, self, new View(view.path("era").asLong(), number, members));
            }
        }
    }

    /** Tells one peer that a view is settled. */
    private static void sendView(String address, String fleet, Member self, View view) throws IOException {
        try (Socket socket = LoopbackSockets.connect(address)) {
            for (Message message :
                    List.of(new Message.Hello(Message.VERSION, fleet, self), new Message.ViewSettled(view))) {
                byte[] body = Codec.encode(message);
                socket.getOutputStream()
                        .write(ByteBuffer.allocate(Integer.BYTES + body.length)
                                .putInt(body.length)
                                .put(body)
                                .array());
            }
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.skipNBytes(in.readInt());
        }
    }
}
