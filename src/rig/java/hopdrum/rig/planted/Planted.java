package hopdrum.rig.planted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hopdrum.Main;
import hopdrum.fleet.message.Codec;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * A process that breaks a rule on purpose, so that the checker can be shown to catch it. Either the program itself with a
 * fault beside it, or a front door of the rig's own that behaves badly; also what placement is held against. No flag of the product does any of this.
 */
public final class Planted {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long AFTER_MS = 4_500; // the fleet has settled by then

    private Planted() {}

    /** FAULT FLEET_FILE. */
    public static void main(String[] args) throws IOException {
        Path fleet = Path.of(args[1]);
        switch (args[0]) {
            case "long_lease" -> {
                Path own = fleet.resolveSibling("planted.yaml");
                Files.writeString(own, Files.readString(fleet).replaceAll("lease_ms: (\\d+)", "lease_ms: $10"));
                Main.main(new String[] {"serve", "--fleet", own.toString()});
            }
            case "lone_view", "two_views", "goes_back", "old_start", "acts_on_all", "lone_terms" -> {
                Thread beside = new Thread(() -> beside(args[0], fleet), "planted");
                beside.setDaemon(true);
                beside.start();
                Main.main(new String[] {"serve", "--fleet", fleet.toString()});
            }
            case "all_knowing", "nearest" -> Baseline.serve(fleet, args[0].equals("all_knowing"));
            case "twice", "silent", "lavish", "deaf", "both" -> badDoor(args[0]);
            default -> throw new IllegalArgumentException("no such fault: " + args[0]);
        }
    }

    private static String value(Path fleet, String key) throws IOException {
        for (String line : Files.readAllLines(fleet)) {
            if (line.startsWith(key + ": ")) {
                return line.substring(key.length() + 2);
            }
        }
        throw new IOException("no " + key);
    }

    private static void beside(String fault, Path fleet) {
        try {
            Thread.sleep(AFTER_MS);
            Path log = Path.of(value(fleet, "log"));
            JsonNode starts = null;
            JsonNode view = null;
            JsonNode acts = null;
            JsonNode division = null;
            for (String line : Files.readAllLines(log)) {
                JsonNode l = JSON.readTree(line);
                starts = l.path("event").asText().equals("starts") ? l : starts;
                view = l.path("event").asText().equals("view") ? l : view;
                acts = l.path("event").asText().equals("acts") ? l : acts;
                division = l.path("event").asText().equals("division") ? l : division;
            }
            long now = System.nanoTime() / 1000;
            if (fault.equals("acts_on_all")) {
                append(
                        log,
                        ((com.fasterxml.jackson.databind.node.ObjectNode) acts)
                                .put("on", acts.path("on").asText().replace('-', 'x'))
                                .put("mono_us", now)
                                .put("until_us", now + 5_000_000));
            } else if (fault.equals("lone_terms")) {
                com.fasterxml.jackson.databind.node.ObjectNode other =
                        (com.fasterxml.jackson.databind.node.ObjectNode) division;
                append(
                        log,
                        other.put("number", division.path("number").asLong() + 1)
                                .put("mono_us", now)
                                .set(
                                        "agreement",
                                        JSON.readTree(
                                                "{\"revision\":9,\"moves\":1,\"epoch_ms\":60000,\"parties\":{\"north\":[1,1,0],\"south\":[1,1,0]}}")));
                append(
                        log,
                        other.put("number", division.path("number").asLong() + 1)
                                .put("mono_us", now + 1)
                                .put("owners", division.path("owners").asText().replace('B', 'A')));
            } else if (fault.equals("goes_back")) {
                append(
                        log,
                        ((com.fasterxml.jackson.databind.node.ObjectNode) view)
                                .put("number", 0)
                                .put("mono_us", System.nanoTime() / 1000));
            } else if (fault.equals("old_start")) {
                append(
                        log,
                        ((com.fasterxml.jackson.databind.node.ObjectNode) starts)
                                .put("mono_us", System.nanoTime() / 1000));
            } else {
                Member self = new Member(
                        starts.path("name").asText(),
                        starts.path("start").asLong(),
                        starts.path("voter").asLong(),
                        starts.path("operator").asText(),
                        starts.path("site").asText(),
                        starts.path("gateway").asInt(),
                        starts.path("address").asText());
                List<String> seeds = List.of(
                        value(fleet, "seeds").replaceAll("[\\[\\]\" ]", "").split(","));
                for (int i = 0; i < seeds.size(); i++) {
                    long number = view.path("number").asLong() + 1;
                    List<Member> members = new ArrayList<>(List.of(self));
                    if (fault.equals("two_views") && i > 0) {
                        members.add(new Member("zz" + i, 1, 1, self.operator(), "here", 9, "127.0.0.1:9"));
                    }
                    if (!seeds.get(i).equals(self.address())) {
                        settle(
                                seeds.get(i),
                                value(fleet, "fleet"),
                                self,
                                new View(view.path("era").asLong(), number, members));
                    }
                }
            }
        } catch (IOException e) {
            System.err.println("planted: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void append(Path log, JsonNode line) throws IOException {
        Files.writeString(log, JSON.writeValueAsString(line) + "\n", StandardOpenOption.APPEND);
    }

    /** Tells one peer, and no other, of a view that nobody has agreed to. */
    private static void settle(String address, String fleet, Member self, View view) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", Integer.parseInt(address.substring(address.indexOf(':') + 1)))) {
            for (Message m : List.of(new Message.Hello(Message.VERSION, fleet, self), new Message.ViewSettled(view))) {
                byte[] body = Codec.bytes(m);
                socket.getOutputStream()
                        .write(java.nio.ByteBuffer.allocate(4 + body.length)
                                .putInt(body.length)
                                .put(body)
                                .array());
            }
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.skipNBytes(in.readInt());
        }
    }

    /** A front door without a counter or a fleet: it sends on all, twice, or never answers; deaf: SIGTERM does not end it. */
    private static void badDoor(String fault) throws IOException {
        JsonNode config = JSON.readTree(Files.readAllBytes(Path.of(System.getenv("LB_CONFIG"))));
        String discovery = config.path("discovery").asText();
        JsonNode list;
        try (Socket socket =
                new Socket("127.0.0.1", Integer.parseInt(discovery.substring(discovery.indexOf(':') + 1)))) {
            socket.getOutputStream()
                    .write("GET /registry/instances HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String answer = read(socket.getInputStream());
            list = JSON.readTree(answer.substring(answer.indexOf("\r\n\r\n") + 4));
        }
        String backend = list.path("hosts").path(0).path("dial").asText();
        int backendPort = Integer.parseInt(backend.substring(backend.indexOf(':') + 1));
        String listen = config.path("listen").asText();
        if (fault.equals("deaf")) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    Thread.sleep(60_000);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
        try (ServerSocket server = new ServerSocket(
                Integer.parseInt(listen.substring(listen.indexOf(':') + 1)), 256, InetAddress.getLoopbackAddress())) {
            while (true) {
                Socket client = server.accept();
                Thread thread = new Thread(() -> serve(client, backendPort, fault));
                thread.setDaemon(true);
                thread.start();
            }
        }
    }

    private static void serve(Socket client, int backend, String fault) {
        try (client) {
            byte[] head = read(client.getInputStream()).getBytes(StandardCharsets.US_ASCII);
            if (fault.equals("silent")) {
                return;
            }
            String answer = "";
            if (fault.equals("both")) { // to a front door of the other operator as well
                JsonNode other = JSON.readTree(Path.of(System.getenv("LB_CONFIG"))
                        .getParent()
                        .resolveSibling("s0")
                        .resolve("config.json")
                        .toFile());
                String listen = other.path("listen").asText();
                try (Socket to = new Socket("127.0.0.1", Integer.parseInt(listen.substring(listen.indexOf(':') + 1)))) {
                    to.getOutputStream().write(head);
                    answer = read(to.getInputStream());
                }
            }
            for (int i = 0; i < (fault.equals("twice") ? 2 : 1); i++) {
                try (Socket to = new Socket("127.0.0.1", backend)) {
                    to.getOutputStream().write(head);
                    answer = read(to.getInputStream());
                }
            }
            client.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            // the client has left
        }
    }

    /** A head, and the body whose length it states. */
    private static String read(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int end = -1;
        int body = 0;
        while (end < 0 || text.length() < end + 4 + body) {
            int b = in.read();
            if (b < 0) {
                return text.toString();
            }
            text.append((char) b);
            if (end < 0
                    && text.length() >= 4
                    && text.substring(text.length() - 4).equals("\r\n\r\n")) {
                end = text.length() - 4;
                int at = text.indexOf("Content-Length: ");
                body = at < 0 ? 0 : Integer.parseInt(text.substring(at + 16, text.indexOf("\r", at)));
            }
        }
        return text.toString();
    }
}
