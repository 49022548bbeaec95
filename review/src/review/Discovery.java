package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Discovery, as the agent of kit/real/PROTOCOL.md speaks it: the whole list, and a watch that tells changes at once and
 * sends an empty line every 2 s. {@link #setAnswerDelay} and {@link #setDown} are the troubles that the pages name.
 */
final class Discovery extends StandIn {
    private record Change(long version, String host) {}

    private final Map<String, String> hosts = new LinkedHashMap<>(); // by name, as JSON
    private final List<Change> changes = new ArrayList<>();
    private long version;
    private volatile double answerDelay;
    private volatile boolean down;

    Discovery() throws IOException {}

    static String host(String name, String dial, int block, String health, long bornMs) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + dial
                + "\",\"site\":\"gent-dc1\",\"class\":\"std-3c\",\"block\":" + block + ",\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }

    /** Adds or changes a backend; watches are told at once. */
    synchronized void put(String name, String dial, String health) {
        put(name, host(name, dial, 0, health, 0), "terminated".equals(health));
    }

    synchronized void put(String name, String json, boolean gone) {
        version++;
        changes.add(new Change(version, json));
        if (gone) {
            hosts.remove(name);
        } else {
            hosts.put(name, json);
        }
        notifyAll();
    }

    /** Seconds that each call waits for the first byte of its answer. */
    void setAnswerDelay(double seconds) {
        answerDelay = seconds;
    }

    /** While down, connections are accepted and nothing is answered or told. */
    synchronized void setDown(boolean isDown) {
        down = isDown;
        notifyAll();
    }

    synchronized String wholeList() {
        return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts.values()) + "]}";
    }

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws IOException, InterruptedException {
        for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
            boolean watch = call.target().contains("watch=1");
            Rig.note("discovery " + address() + " is called: " + call.target());
            Rig.sleep(answerDelay);
            awaitUp();
            if (!watch) {
                out.write(Http.answer(200, "", wholeList()));
                Rig.note("discovery " + address() + " has answered with the whole list");
                continue;
            }
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            watch(call.target(), out);
        }
    }

    private synchronized void awaitUp() throws InterruptedException {
        while (down) {
            wait();
        }
    }

    private void watch(String target, OutputStream out) throws IOException, InterruptedException {
        int after = target.indexOf("after=");
        long told = after < 0 ? -1 : Long.parseLong(target.substring(after + 6).split("&")[0]);
        writeChunk(out, told < 0 ? wholeList() : changesAfter(told));
        told = told < 0 ? currentVersion() : Math.max(told, currentVersion());
        while (true) {
            String line = awaitChanges(told);
            told = Math.max(told, currentVersion());
            writeChunk(out, line);
            if (!line.isEmpty()) {
                Rig.note("discovery " + address() + " has written to the watch: " + line);
            }
        }
    }

    private synchronized long currentVersion() {
        return version;
    }

    private synchronized String changesAfter(long told) {
        StringBuilder line = new StringBuilder();
        for (Change change : changes) {
            if (change.version > told) {
                line.append(line.isEmpty() ? "" : ",").append(change.host);
            }
        }
        return "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[" + line + "]}";
    }

    /** Waits for a change, 2 s at most; an empty line if there is none. */
    private synchronized String awaitChanges(long told) throws InterruptedException {
        if (version <= told) {
            wait(2000);
        }
        while (down) {
            wait();
        }
        return version > told ? changesAfter(told) : "";
    }

    private static void writeChunk(OutputStream out, String line) throws IOException {
        out.write(Http.bytes(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n"));
        out.flush();
    }
}
