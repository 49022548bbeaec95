package hopdrum.frontdoor;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A front door in a process of its own, which the deploy file's run command starts from the built jar. */
final class DeployedFrontDoor implements AutoCloseable {
    private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final long START_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    final InetSocketAddress address;
    private final Path log;
    private final Process process;

    /** Starts the process and waits until it listens. The configuration's port 0 is replaced by a free one. */
    DeployedFrontDoor(Path folder, String configuration) throws IOException, InterruptedException {
        Matcher run = RUN_COMMAND.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IllegalStateException("deploy/balancer.toml has no run command");
        }
        address = freeAddress();
        log = folder.resolve("front-door.log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1))
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        Path configFile = folder.resolve("config.json");
        Files.writeString(configFile, configuration.replace(ANY_PORT, "127.0.0.1:" + address.getPort()));
        builder.environment().put("LB_CONFIG", configFile.toString());
        process = builder.start();
        awaitServing();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    private void awaitServing() throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        while (!log().contains("serving as ")) {
            if (!isRunning() || System.nanoTime() - startNanos > START_TIMEOUT_NANOS) {
                close();
                throw new IllegalStateException("the front door does not serve: " + log());
            }
            process.waitFor(20, TimeUnit.MILLISECONDS);
        }
    }

    boolean isRunning() {
        return process.isAlive();
    }

    /** What the process has written to its standard output and error. */
    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
