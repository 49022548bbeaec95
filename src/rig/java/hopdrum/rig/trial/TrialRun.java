package hopdrum.rig.trial;

import hopdrum.rig.trial.TrialFile.Door;
import hopdrum.rig.trial.TrialFile.Load;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Plays one trial: the processes, everything around them, and the schedule of the trial file. Played by one thread. */
final class TrialRun implements AutoCloseable {
    private final TrialFile file;
    private final Path out;
    private final long seed;
    private final EventJournal journal;
    private final Testbed testbed;
    private final DoorProcesses processes;
    private final SiteFaults sites;
    private final LogWatcher logs;
    private final FaultInjector faults;
    private LoadGenerator clients; // null until the first view is expected
    private SchedulingDelayMonitor schedulingDelay; // null until the trial begins

    /**
     * Prepares everything; no process is started yet.
     *
     * @param out where all logs go
     * @param home the checkout whose {@code target} the processes are started from
     */
    TrialRun(TrialFile file, long seed, Path out, Path home) throws IOException {
        this.file = file;
        this.seed = seed;
        this.out = Files.createDirectories(out);
        this.journal = new EventJournal(out.resolve("rig.jsonl"));
        this.testbed = openTestbed();
        this.processes = new DoorProcesses(testbed, new DoorConfiguration(testbed, out, seed), journal, out, home);
        this.sites = new SiteFaults(testbed, journal, out);
        this.logs = new LogWatcher(file, out);
        this.faults = new FaultInjector(testbed, processes, sites, logs, out);
    }

    private Testbed openTestbed() throws IOException {
        try {
            return Testbed.open(file, seed, journal);
        } catch (IOException e) {
            journal.close();
            throw e;
        }
    }

    /** Plays the whole schedule, ends all processes by SIGTERM and returns once they have ended. */
    void play() throws IOException, InterruptedException {
        logSetup();
        for (Map.Entry<String, Map<String, Object>> terms :
                file.shards().terms().entrySet()) {
            TermsFiles.write(out, terms.getKey(), terms.getValue());
        }
        sites.resetDelays();
        for (String door : file.warm()) {
            processes.start(door, StoreState.KEPT);
        }
        logs.awaitSettled(file.warm());
        long beginUs = EventJournal.nowUs();
        journal.event("begin").write();
        schedulingDelay = new SchedulingDelayMonitor(journal);
        for (Step step : file.steps()) {
            sleepUntil(beginUs + step.atMs() * 1_000);
            journal.event("step")
                    .with("do", step.action().key())
                    .with("who", step.targets())
                    .with("more", step.arguments())
                    .with("at_ms", step.atMs())
                    .write();
            faults.apply(step);
            if (clients == null
                    && step.action() == StepAction.EXPECT_SETTLED
                    && file.load().rpcsPerSecond() > 0) {
                clients = startClients((long) (1_000 * step.number("within_s", 0)));
            }
        }
        sleepUntil(beginUs + file.lengthMs() * 1_000);
        end();
    }

    private static void sleepUntil(long atUs) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(Math.max(0, atUs - EventJournal.nowUs()));
    }

    private void logSetup() {
        Map<String, String> operators = new LinkedHashMap<>();
        Map<String, String> siteNames = new LinkedHashMap<>();
        for (Door door : file.doors()) {
            operators.put(door.name(), door.operator());
            siteNames.put(door.name(), door.site());
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

    /** Clients come once the first view is due. */
    private LoadGenerator startClients(long delayMs) {
        List<String> allDoors = List.copyOf(testbed.clientPorts().keySet());
        List<List<String>> tiers = file.shards().isUsed()
                ? List.of(allDoors)
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

    private void end() throws InterruptedException {
        if (clients != null) {
            clients.close();
        }
        journal.event("end").write();
        testbed.network().clear();
        List<Thread> terminating = new ArrayList<>();
        for (String door : processes.running()) {
            processes.resume(door);
            terminating.add(processes.startTerminating(door));
        }
        for (Thread thread : terminating) {
            thread.join();
        }
    }

    /** Ends all processes at once. May be called from a shutdown hook. */
    void killProcesses() {
        processes.killAll();
    }

    @Override
    public void close() throws IOException {
        if (schedulingDelay != null) {
            schedulingDelay.close();
        }
        if (clients != null) {
            clients.close();
        }
        processes.killAll();
        testbed.close();
        journal.close();
    }
}
