package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A client sends many requests at once on a connection that is open while its front door shuts down. */
final class PipelineAtShutdown implements Case.Body {
    private static final int FIRST_REQUESTS = 20;
    private static final int REQUESTS = 60;
    private static final int WORK_MS = 100;
    private static final int DEADLINE_MS = 4000;

    @Override
    public int run(Path root, Path temporary, Record record, boolean trouble) throws Exception {
        Backend backend = new Backend((request, socket, out) -> {
            record.line("run " + request.field("X-Trace-Id"));
            Thread.sleep(WORK_MS);
            Backend.ok(out, request.field("X-Trace-Id"));
            return true;
        });
        List<String> hosts = List.of(Discovery.host("s-0", backend.address()));
        Discovery discovery = new Discovery(hosts);
        Counter counter = new Counter();
        String configuration = FrontDoor.configuration(
                discovery,
                counter,
                Discovery.list(hosts),
                List.of(FrontDoor.lane("photo", 1200, DEADLINE_MS, "retryable", 0.2)));
        try (FrontDoor door = new FrontDoor(root, temporary, configuration);
                Socket socket = connectWhenReady(door)) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            long termNanos = System.nanoTime();
            if (trouble) {
                record.line("SIGTERM");
                door.signal("TERM");
            }
            Thread.sleep(Math.max(0, 300 - (System.nanoTime() - termNanos) / 1_000_000));
            send(socket, 0, FIRST_REQUESTS, record);
            Thread.sleep(Math.max(0, 1000 - (System.nanoTime() - termNanos) / 1_000_000));
            send(socket, FIRST_REQUESTS, REQUESTS, record);
            int answered = readAnswers(in, socket, record);
            Integer exit = door.exitCode(trouble ? 2000 : 1);
            record.line("front door " + (exit == null ? "runs" : "has ended with " + exit));
            if (answered < FIRST_REQUESTS) { // the second batch has to have been sent on an open connection
                System.out.println(Files.readString(door.log));
                return 2;
            }
            return record.verdict(
                    answered < REQUESTS,
                    answered + " of " + REQUESTS + " requests were answered"
                            + (answered < REQUESTS ? ", then the front door ended the connection" : ""));
        }
    }

    private static Socket connectWhenReady(FrontDoor door) throws Exception {
        door.awaitReady();
        Socket socket = door.connect();
        // One request as usual, so that the connection is one that the client keeps using.
        socket.getOutputStream().write(FrontDoor.request("first", "photo", 77, "plus", DEADLINE_MS, -1));
        Http.read(socket.getInputStream());
        return socket;
    }

    private static void send(Socket socket, int from, int to, Record record) throws IOException {
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        for (int i = from; i < to; i++) {
            batch.writeBytes(FrontDoor.request("r" + i, "photo", 77, "plus", DEADLINE_MS, -1));
        }
        socket.getOutputStream().write(batch.toByteArray());
        record.line("sent r" + from + " to r" + (to - 1) + " at once, each with " + DEADLINE_MS + " ms");
    }

    private static int readAnswers(BufferedInputStream in, Socket socket, Record record) throws IOException {
        int answered = 0;
        socket.setSoTimeout(DEADLINE_MS + 2000);
        try {
            while (answered < REQUESTS) {
                Http.Message answer = Http.read(in);
                if (answer == null) {
                    record.line("end of stream");
                    break;
                }
                record.line("answer to r" + answered++ + ": " + answer.status() + " " + answer.text()
                        + (answer.field("Connection").isEmpty() ? "" : ", Connection: " + answer.field("Connection")));
            }
        } catch (IOException e) {
            record.line("the connection failed: " + e);
        }
        return answered;
    }
}
