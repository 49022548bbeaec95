package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A front door, started with the deploy file's command as a process of its own. */
final class FrontDoor implements AutoCloseable {
    final int port;
    final Process process;
    final Path log;
    final Path config;

    FrontDoor(Path root, Path folder, String configuration) throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        config = folder.resolve("config.json");
        Files.writeString(config, configuration.replace("LISTEN", "127.0.0.1:" + port));
        log = folder.resolve("front-door.log");
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run command");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("LB_NAME", "n0");
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Waits until the readiness check is answered with 200. */
    void awaitReady() throws Exception {
        long until = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < until) {
            if (!process.isAlive()) {
                throw new IOException("the front door has ended: " + Files.readString(log));
            }
            if (isReady(2000)) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException("the front door is not ready: " + Files.readString(log));
    }

    boolean isReady(int timeoutMs) {
        try (Socket socket = connect()) {
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(Http.bytes("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"));
            Http.Message answer = Http.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** The exit code, or null if the process still runs after the time. */
    Integer exitCode(long waitMs) throws InterruptedException {
        return process.waitFor(waitMs, TimeUnit.MILLISECONDS) ? process.exitValue() : null;
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A class of requests as the settings state it. */
    static String lane(String name, int aimMs, int deadlineMs, String effect, double lateWorth) {
        return "{\"Name\":\"" + name + "\",\"AimUs\":" + aimMs * 1000L + ",\"GiveUpUs\":" + deadlineMs * 1000L
                + ",\"Effect\":\"" + effect + "\",\"LateWorth\":" + lateWorth + ",\"Worth\":1.0,\"Stream\":false"
                + (effect.equals("dedup") ? ",\"Group\":\"cell\",\"WindowUs\":6000000" : "") + "}";
    }

    /** The configuration of one front door of a small deployment. */
    static String configuration(Discovery discovery, Counter counter, String known, List<String> lanes) {
        List<String> lines = new ArrayList<>();
        lines.add("{\"name\":\"n0\",\"listen\":\"LISTEN\",\"discovery\":\"" + discovery.address() + "\",");
        lines.add("\"counter\":\"" + counter.address() + "\",\"seed\":\"8c1f30d27a5be964\",");
        lines.add("\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known + ",");
        lines.add("\"settings\":{\"NInstances\":1,\"Ordinal\":0,\"TickUs\":2000,\"Azs\":[\"a\"],\"Flavors\":[\"m\"],");
        lines.add("\"Weights\":\"nominal\",\"RegistryMode\":\"push\",\"Lanes\":[" + String.join(",", lanes) + "],");
        lines.add("\"Packages\":[{\"Name\":\"basis\",\"PerSecond\":10.0,\"Burst\":20.0},"
                + "{\"Name\":\"plus\",\"PerSecond\":1000.0,\"Burst\":2000.0}],");
        lines.add("\"FamilyInfo\":{\"MayCount\":true,\"CountWaitUs\":80000,\"Largest\":4},");
        lines.add("\"Bounds\":{\"AttemptsCap\":3,\"Cancel\":true,\"SecondCopies\":false,\"Peers\":false,"
                + "\"RetryAfter\":true,\"MaxRetryAfterUs\":1000000,\"DialTimeoutUs\":250000,"
                + "\"ConnIdleUs\":30000000},");
        lines.add("\"Report\":{\"Fields\":[\"depth\"],\"Source\":\"none\"},");
        lines.add("\"Rules\":{\"ColdFrom\":0.25,\"WarmAfterUs\":15000000,\"OverloadFactor\":2.0,"
                + "\"FallUs\":1500000,\"StopSendingWithinUs\":500000}}}");
        return String.join("\n", lines);
    }

    /** A request in the form that the protocol page shows: GET, or with a body of 0 bytes or more POST without a key. */
    static byte[] request(String id, String method, long customer, String plan, long timeMs, int bodyBytes) {
        boolean get = bodyBytes < 0;
        return Http.bytes((get ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id
                + "\r\nX-Qos: " + method + "\r\nPlan: " + plan + "\r\nCookie: key=" + String.format("%016x", customer)
                + "\r\nX-Expires-In-Ms: " + timeMs + "\r\n"
                + (get ? "" : "Content-Length: " + bodyBytes + "\r\n")
                + "Quota-Info: units=1,spread=1,first=0\r\n\r\n" + (get ? "" : "x".repeat(bodyBytes)));
    }
}
