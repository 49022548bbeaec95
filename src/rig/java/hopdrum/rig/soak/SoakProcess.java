package hopdrum.rig.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The process of a front door, started by the deploy file's command. */
final class SoakProcess implements AutoCloseable {
    private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PEAK_MEMORY = Pattern.compile("VmHWM:\\s+(\\d+) kB");
    private static final long START_TIMEOUT_NANOS = 30_000_000_000L;

    private final Process process;
    private final Path log;

    /**
     * Starts the process and waits until it listens.
     *
     * @param home the project's root, which has the built jar
     */
    SoakProcess(Path home, Path folder, Path configuration, Map<String, String> environment)
            throws IOException, InterruptedException {
        Matcher run = RUN_COMMAND.matcher(Files.readString(home.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run command");
        }
        log = folder.resolve("front-door.log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1))
                .directory(home.toFile())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("LB_CONFIG", configuration.toString());
        builder.environment().putAll(environment);
        process = builder.start();
        long startNanos = System.nanoTime();
        while (!Files.readString(log).contains("serving as ")) {
            if (!process.isAlive() || System.nanoTime() - startNanos > START_TIMEOUT_NANOS) {
                close();
                throw new IOException("the front door does not serve: " + Files.readString(log));
            }
            process.waitFor(20, TimeUnit.MILLISECONDS);
        }
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Waits for the end of the process; returns false if it still runs after the time. */
    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    boolean isRunning() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** The most memory that the process has used so far, in KiB; 0 once it has ended. */
    long peakMemoryKib() {
        try {
            Matcher peak = PEAK_MEMORY.matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
            return peak.find() ? Long.parseLong(peak.group(1)) : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
