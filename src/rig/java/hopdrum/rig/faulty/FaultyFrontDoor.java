package hopdrum.rig.faulty;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * A minimal front door of the rig, without a counter or a fleet. Regardless of quotas, it forwards each request to the
 * first backend. Depending on the fault, it forwards requests twice, not at all, or to another operator as well. Each
 * connection carries one request and is served by a thread of its own.
 */
final class FaultyFrontDoor {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long EXIT_DELAY_MS = 60_000; // longer than a trial waits for a process to exit
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String CONTENT_LENGTH = "Content-Length: ";
    private static final String OTHER_OPERATORS_FRONT_DOOR = "s0";

    private final Fault fault;
    private final Path configFile = Path.of(System.getenv("LB_CONFIG"));

    FaultyFrontDoor(Fault fault) {
        this.fault = fault;
    }

    /** Serves until the process ends. */
    void serve() throws IOException {
        JsonNode config = JSON.readTree(configFile.toFile());
        String backend = firstBackend(config.path("discovery").asText());
        if (fault == Fault.DEAF) {
            Runtime.getRuntime().addShutdownHook(new Thread(FaultyFrontDoor::delayExit));
        }
        try (ServerSocket server = LoopbackSockets.listen(config.path("listen").asText())) {
            while (true) {
                Socket client = server.accept();
                Thread thread = new Thread(() -> serve(client, backend));
                thread.setDaemon(true);
                thread.start();
            }
        }
    }

    private static String firstBackend(String discovery) throws IOException {
        try (Socket socket = LoopbackSockets.connect(discovery)) {
            socket.getOutputStream()
                    .write("GET /registry/instances HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String response = readMessage(socket.getInputStream());
            JsonNode list = JSON.readTree(response.substring(response.indexOf(END_OF_HEAD) + END_OF_HEAD.length()));
            return list.path("hosts").path(0).path("dial").asText();
        }
    }

    private static void delayExit() {
        try {
            Thread.sleep(EXIT_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Socket client, String backend) {
        try (client) {
            byte[] request = readMessage(client.getInputStream()).getBytes(StandardCharsets.US_ASCII);
            if (fault == Fault.SILENT) {
                return;
            }
            if (fault == Fault.BOTH) {
                forward(request, otherOperatorsFrontDoor());
            }
            if (fault == Fault.TWICE) {
                forward(request, backend);
            }
            String response = forward(request, backend);
            client.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            // The client or the backend closed its connection; the client gets no answer.
        }
    }

    private String otherOperatorsFrontDoor() throws IOException {
        Path config = configFile
                .getParent()
                .resolveSibling(OTHER_OPERATORS_FRONT_DOOR)
                .resolve("config.json");
        return JSON.readTree(config.toFile()).path("listen").asText();
    }

    private static String forward(byte[] request, String address) throws IOException {
        try (Socket socket = LoopbackSockets.connect(address)) {
            socket.getOutputStream().write(request);
            return readMessage(socket.getInputStream());
        }
    }

    /**
     * Reads the head of a message and the body whose length the head states. If the stream ends before, returns what
     * was read until then.
     */
    private static String readMessage(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int headEnd = -1;
        int bodyLength = 0;
        while (headEnd < 0 || text.length() < headEnd + bodyLength) {
            int next = in.read();
            if (next < 0) {
                return text.toString();
            }
            text.append((char) next);
            if (headEnd < 0
                    && text.length() >= 4
                    && text.substring(text.length() - 4).equals(END_OF_HEAD)) {
                headEnd = text.length();
                bodyLength = contentLength(text);
            }
        }
        return text.toString();
    }

    private static int contentLength(StringBuilder head) {
        int start = head.indexOf(CONTENT_LENGTH);
        return start < 0
                ? 0
                : Integer.parseInt(head.substring(start + CONTENT_LENGTH.length(), head.indexOf("\r", start)));
    }
}
