package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;

/** One front door: a process that the deploy file's {@code run} starts, told by a configuration file. */
final class FrontDoor {
    final InetSocketAddress address;
    private final Path configFile;
    private final Path log;
    private Process process;

    /** Reserves a free port; nothing is started yet. */
    FrontDoor(Path temporary) throws IOException {
        try (ServerSocket free = new ServerSocket()) {
            free.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
        configFile = temporary.resolve("config.json");
        log = temporary.resolve("front-door.log");
        Files.createFile(log);
        Rig.started(this);
    }

    String listen() {
        return "127.0.0.1:" + address.getPort();
    }

    /** Replaces the configuration file in one step. */
    void configure(String config) throws IOException {
        Path next = configFile.resolveSibling("config.next");
        Files.writeString(next, config);
        Files.move(next, configFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
        builder.environment().put("LB_CONFIG", configFile.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Rig.note("front door started, process " + process.pid());
    }

    private static String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no " + key);
    }

    /** Waits until the front door has answered its readiness check with 200. */
    void awaitReady() throws IOException {
        double until = Rig.seconds() + 30;
        while (Rig.seconds() < until && isRunning()) {
            try (Socket socket = new Socket()) {
                socket.connect(address, 1000);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(Http.bytes("GET /health/ready HTTP/1.1\r\nHost: front\r\n\r\n"));
                Http.Message answer = Http.read(socket.getInputStream());
                if (answer != null && answer.status() == 200) {
                    Rig.note("front door is ready");
                    return;
                }
            } catch (IOException e) {
                // Not up yet.
            }
            Rig.sleep(0.05);
        }
        throw new IOException("the front door is not ready after 30 s");
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Sends a signal, such as HUP, to the front door. */
    void signal(String name) throws IOException, InterruptedException {
        Rig.note("SIG" + name + " to process " + process.pid());
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Ends the process at once, as SIGKILL does, and waits for its end. */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Copies the front door's own log into the record. */
    void noteLog() throws IOException {
        for (String line : Files.readAllLines(log)) {
            Rig.note("front door's log: " + line);
        }
    }
}
