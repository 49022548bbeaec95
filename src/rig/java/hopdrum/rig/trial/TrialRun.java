package hopdrum.rig.trial;

import hopdrum.rig.trial.TrialFile.FrontDoor;
import hopdrum.rig.trial.TrialFile.Load;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Plays one trial: sets up the environment, starts the processes and applies the steps of the trial file. Confined to
 * one thread, except for {@link #killProcesses}.
 */
final class TrialRun implements AutoCloseable {
    private final TrialFile file;
    private final Path outputFolder;
    private final long seed;
    private final EventJournal journal;
    private final Testbed testbed;
    private final FrontDoorProcesses processes;
    private final SiteFaults siteFaults;
    private final LogWatcher logWatcher;
    private final FaultInjector faultInjector;
    private LoadGenerator clients; // null until the step that expects the first view
    private SchedulingDelayMonitor schedulingDelayMonitor; // null until the trial begins

    /**
     * Sets up the environment without starting a process.
     *
     * @param seed the seed of everything that is drawn at random
     * @param outputFolder the folder for all logs
     * @param home the checkout whose {@code target} folder has the program to start
     * @throws IOException if a file cannot be created or a socket cannot be opened
     */
    TrialRun(TrialFile file, long seed, Path outputFolder, Path home) throws IOException {
        this.file = file;
        this.seed = seed;
        this.outputFolder = Files.createDirectories(outputFolder);
        this.journal = new EventJournal(outputFolder.resolve("rig.jsonl"));
        this.testbed = openTestbed();
        this.processes = new FrontDoorProcesses(
                testbed, new FrontDoorConfiguration(testbed, outputFolder, seed), journal, outputFolder, home);
        this.siteFaults = new SiteFaults(testbed, journal, outputFolder);
        this.logWatcher = new LogWatcher(file, outputFolder);
        this.faultInjector = new FaultInjector(testbed, processes, siteFaults, logWatcher, outputFolder);
    }

    private Testbed openTestbed() throws IOException {
        try {
            return Testbed.open(file, seed, journal);
        } catch (IOException e) {
            journal.close();
            throw e;
        }
    }

    /**
     * Applies all steps at their times, then ends all processes by SIGTERM and waits until they have ended.
     *
     * @throws IOException if a process cannot be started or a file cannot be read or written
     * @throws InterruptedException if the thread is interrupted during the trial
     */
    void play() throws IOException, InterruptedException {
        logSetup();
        for (Map.Entry<String, Map<String, Object>> terms :
                file.shards().terms().entrySet()) {
            TermsFiles.write(outputFolder, terms.getKey(), terms.getValue());
        }
        siteFaults.resetDelays();
        for (String frontDoor : file.warmFrontDoors()) {
            processes.start(frontDoor, StoreState.KEPT);
        }
        logWatcher.awaitCompleteViews(file.warmFrontDoors());
        long beginUs = EventJournal.nowUs();
        journal.event("begin").write();
        schedulingDelayMonitor = new SchedulingDelayMonitor(journal);
        for (Step step : file.steps()) {
            sleepUntil(beginUs + step.atMs() * 1_000);
            journal.event("step")
                    .with("do", step.action().key())
                    .with("who", step.targets())
                    .with("more", step.arguments())
                    .with("at_ms", step.atMs())
                    .write();
            faultInjector.apply(step);
            if (clients == null
                    && step.action() == StepAction.EXPECT_SETTLED
                    && file.load().requestsPerSecond() > 0) {
                clients = startClients((long) (1_000 * step.number("within_s", 0)));
            }
        }
        sleepUntil(beginUs + file.lengthMs() * 1_000);
        endTrial();
    }

    private static void sleepUntil(long atUs) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(Math.max(0, atUs - EventJournal.nowUs()));
    }

    private void logSetup() {
        Map<String, String> operators = new LinkedHashMap<>();
        Map<String, String> siteNames = new LinkedHashMap<>();
        for (FrontDoor frontDoor : file.frontDoors()) {
            operators.put(frontDoor.name(), frontDoor.operator());
            siteNames.put(frontDoor.name(), frontDoor.site());
        }
        Load load = file.load();
        journal.event("trial")
                .with("about", file.about())
                .with("period_us", file.probePeriodMs() * 1_000L)
                .with("lease_us", file.leaseMs() * 1_000L)
                .with("seed", seed)
                .with("doors", operators)
                .with("sites", siteNames)
                .with("founders", file.founders())
                .with("rate", load.rate())
                .with("burst", load.burst())
                .with("ceiling_rate", load.ceilingRate())
                .with("ceiling_burst", load.ceilingBurst())
                .with("deadline_us", load.deadlineMs() * 1_000L)
                .with("tiers", testbed.tiers())
                .with("shards", file.shards().count())
                .with("most_alone_us", file.shards().maxAloneMs() * 1_000L)
                .write();
    }

    /** Starts the clients, which send from the time at which the first view is due. */
    private LoadGenerator startClients(long delayMs) {
        List<String> allFrontDoors = List.copyOf(testbed.clientPorts().keySet());
        List<List<String>> tiers = file.shards().isUsed()
                ? List.of(allFrontDoors)
                : List.copyOf(testbed.tiers().values());
        LoadGenerator generator = new LoadGenerator(
                journal,
                file.load(),
                testbed.clientPorts(),
                tiers,
                file.shards().isUsed(),
                seed);
        generator.start(delayMs);
        return generator;
    }

    private void endTrial() throws InterruptedException {
        if (clients != null) {
            clients.close();
        }
        journal.event("end").write();
        testbed.network().clear();
        List<Thread> terminating = new ArrayList<>();
        for (String frontDoor : processes.running()) {
            processes.resume(frontDoor);
            terminating.add(processes.startTerminating(frontDoor));
        }
        for (Thread thread : terminating) {
            thread.join();
        }
    }

    /** Ends all processes by SIGKILL. May be called from a shutdown hook. */
    void killProcesses() {
        processes.killAll();
    }

    @Override
    public void close() throws IOException {
        if (schedulingDelayMonitor != null) {
            schedulingDelayMonitor.close();
        }
        if (clients != null) {
            clients.close();
        }
        processes.killAll();
        testbed.close();
        journal.close();
    }
}
