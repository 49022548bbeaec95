package hopdrum.rig.trial;

import hopdrum.rig.trial.TrialFile.FrontDoor;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Starts, signals and ends the front doors' processes of one trial, and records starts, signals and exits in the
 * journal.
 */
final class FrontDoorProcesses {
    private static final int TERM_TIMEOUT_MS = 6_000;
    private static final List<String> JVM_OPTIONS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m", "-Xss512k");

    /**
     * The main class of a front door with a deliberate fault; given by name because it runs in a process of its own.
     */
    private static final String FAULTY_SERVER_CLASS = "hopdrum.rig.faulty.FaultyServer";

    private final Testbed testbed;
    private final FrontDoorConfiguration configuration;
    private final EventJournal journal;
    private final Path outputFolder;
    private final Path home;
    private final Map<String, Process> running = new ConcurrentHashMap<>(); // by front door
    private final Map<String, Integer> startCounts = new HashMap<>(); // by front door; used by the trial's thread only

    /**
     * Creates the object without starting a process.
     *
     * @param outputFolder the folder for the processes' files and logs
     * @param home the checkout whose {@code target} folder has the program to start
     */
    FrontDoorProcesses(
            Testbed testbed, FrontDoorConfiguration configuration, EventJournal journal, Path outputFolder, Path home) {
        this.testbed = testbed;
        this.configuration = configuration;
        this.journal = journal;
        this.outputFolder = outputFolder;
        this.home = home;
    }

    /**
     * Starts a front door's process and returns without waiting for it to be ready.
     *
     * @param store the state into which the front door's stored data is brought before
     * @throws IOException if a file cannot be written or the process cannot be started
     */
    void start(String name, StoreState store) throws IOException {
        FrontDoor frontDoor = testbed.file().frontDoor(name);
        Path folder = Files.createDirectories(outputFolder.resolve(name));
        damageStore(folder.resolve("store").resolve("member.cbor"), store);
        Path platformFile = configuration.writePlatformFile(frontDoor, startCounts.getOrDefault(name, 0));
        Path fleetFile = configuration.writeFleetFile(frontDoor);
        ProcessBuilder builder = new ProcessBuilder(command(frontDoor, fleetFile))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("output.txt").toFile()));
        builder.environment().put("LB_CONFIG", platformFile.toString());
        testbed.ports().release(testbed.fleetPort(name));
        testbed.ports().release(testbed.clientPort(name));
        Process process = builder.start();
        running.put(name, process);
        startCounts.merge(name, 1, Integer::sum);
        journal.event("started")
                .with("door", name)
                .with("pid", process.pid())
                .with("store", store.key())
                .write();
        DaemonThreads.start("watch-" + name, () -> {
            int code = process.onExit().join().exitValue();
            running.remove(name, process);
            journal.event("exited").with("door", name).with("code", code).write();
        });
    }

    private static void damageStore(Path stored, StoreState state) throws IOException {
        if (state == StoreState.LOST) {
            Files.deleteIfExists(stored);
        } else if (state == StoreState.TORN && Files.exists(stored)) {
            byte[] bytes = Files.readAllBytes(stored);
            Files.write(stored, Arrays.copyOf(bytes, bytes.length * 2 / 3));
        }
    }

    private List<String> command(FrontDoor frontDoor, Path fleetFile) {
        Path target = home.resolve("target");
        String jar = target.resolve("hopdrum.jar").toString();
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        if (frontDoor.injectedFault().isEmpty()) {
            command.addAll(List.of("-jar", jar, "serve", "--fleet", fleetFile.toString()));
        } else {
            String classPath = String.join(
                    File.pathSeparator,
                    jar,
                    target.resolve("lib") + "/*",
                    target.resolve("test-classes").toString());
            command.addAll(
                    List.of("-cp", classPath, FAULTY_SERVER_CLASS, frontDoor.injectedFault(), fleetFile.toString()));
        }
        return command;
    }

    /** Returns the names of the front doors whose processes are running, including paused ones. */
    List<String> running() {
        return List.copyOf(running.keySet());
    }

    /** Pauses a process by SIGSTOP; has no effect if it is not running. */
    void pause(String frontDoor) {
        signal(frontDoor, "STOP");
    }

    /** Resumes a process by SIGCONT; has no effect if it is not running. */
    void resume(String frontDoor) {
        signal(frontDoor, "CONT");
    }

    private void signal(String frontDoor, String signal) {
        Process process = running.get(frontDoor);
        if (process == null) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            journal.event("signal")
                    .with("door", frontDoor)
                    .with("which", signal)
                    .write();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends a process by SIGKILL and waits until it has ended. */
    void kill(String frontDoor) {
        Process process = running.remove(frontDoor);
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
            journal.event("killed").with("door", frontDoor).write();
        }
    }

    /** Ends a process by SIGTERM and waits until it has ended; kills it if it has not ended within 6 s. */
    void terminate(String frontDoor) {
        Process process = running.get(frontDoor);
        if (process == null) {
            return;
        }
        journal.event("term").with("door", frontDoor).write();
        process.destroy();
        try {
            boolean hasEnded = process.waitFor(TERM_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            journal.event("ended")
                    .with("door", frontDoor)
                    .with("by_itself", hasEnded)
                    .with("code", hasEnded ? process.exitValue() : -1)
                    .write();
            if (!hasEnded) {
                process.destroyForcibly();
                process.onExit().join();
            }
            running.remove(frontDoor, process);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs {@link #terminate} in a new thread and returns the thread. */
    Thread startTerminating(String frontDoor) {
        return DaemonThreads.start("term-" + frontDoor, () -> terminate(frontDoor));
    }

    /** Ends all processes by SIGKILL and waits until they have ended. May be called from a shutdown hook. */
    void killAll() {
        running.values().forEach(Process::destroyForcibly);
        running.values().forEach(process -> process.onExit().join());
    }
}
