package hopdrum.rig.soak;

import hopdrum.rig.soak.SoakRecords.AttemptRecord;
import hopdrum.rig.trial.LoopbackListener;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/** A backend that mostly serves, and sometimes turns attempts away, fails, hangs or resets. */
final class SoakBackend implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final int HANG_MS = 10_000;
    private static final int MAX_WORK_MS = 30;

    private enum Behaviour {
        SERVE,
        TURN_AWAY,
        FAIL,
        RESET,
        HANG,
        SLOW
    }

    /** A request as the backend reads it. */
    private record Received(String head, long firstByteNanos) {
        String field(String name) {
            for (String line : head.split("\r\n", -1)) {
                if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return "";
        }
    }

    final String name;
    private final LoopbackListener listener;
    private final SoakRecords records;
    private final SplittableRandom random;
    private final int turnedAwayPerMille;

    SoakBackend(String name, SoakPlan plan, SoakRecords records) throws IOException {
        this.name = name;
        this.records = records;
        this.random = new SplittableRandom(plan.seed() * 31 + name.hashCode());
        this.turnedAwayPerMille = plan.turnedAwayPerMille();
        this.listener = new LoopbackListener(BACKLOG);
        listener.start(name, this::serve);
    }

    String address() {
        return "127.0.0.1:" + listener.port();
    }

    private synchronized Behaviour nextBehaviour() {
        int choice = random.nextInt(1000);
        if (choice < turnedAwayPerMille) {
            return Behaviour.TURN_AWAY;
        }
        return switch (random.nextInt(100)) {
            case 0 -> Behaviour.FAIL;
            case 1 -> Behaviour.RESET;
            case 2 -> Behaviour.HANG;
            case 3, 4, 5 -> Behaviour.SLOW;
            default -> Behaviour.SERVE;
        };
    }

    private synchronized int nextWorkMs(Behaviour behaviour) {
        return (behaviour == Behaviour.SLOW ? 10 : 1) * random.nextInt(1, MAX_WORK_MS);
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Received request = read(in); request != null; request = read(in)) {
                if (!answer(request, socket)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The front door has ended the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            listener.untrack(socket);
        }
    }

    private static Received read(InputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        long firstByteNanos = System.nanoTime();
        StringBuilder head = new StringBuilder().append((char) first);
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        Received request = new Received(head.toString(), firstByteNanos);
        String length = request.field("Content-Length");
        in.skipNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        return request;
    }

    /** Returns whether the connection stays open. */
    private boolean answer(Received request, Socket socket) throws IOException, InterruptedException {
        String id = request.field("X-Trace-Id");
        Behaviour behaviour = nextBehaviour();
        long statedMs = Long.parseLong(request.field("X-Expires-In-Ms"));
        records.attempted(
                new AttemptRecord(id, name, request.firstByteNanos, statedMs, behaviour != Behaviour.TURN_AWAY));
        Thread.sleep(behaviour == Behaviour.HANG ? HANG_MS : nextWorkMs(behaviour));
        switch (behaviour) {
            case RESET -> socket.setSoLinger(true, 0);
            case TURN_AWAY -> write(socket, "503 Full\r\nX-Never-Ran: 1", "");
            case FAIL -> write(socket, "500 Error", "");
            default -> write(socket, "200 OK", "for " + id);
        }
        return behaviour != Behaviour.RESET;
    }

    private static void write(Socket socket, String statusAndFields, String body) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + statusAndFields + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
