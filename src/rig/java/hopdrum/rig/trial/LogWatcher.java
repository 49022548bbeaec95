package hopdrum.rig.trial;

import hopdrum.rig.trial.TrialFile.Door;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;

/** Waits for what the doors' processes log. */
final class LogWatcher {
    private static final long REVISION_TIMEOUT_US = 10_000_000;
    private static final long SETTLED_TIMEOUT_US = 60_000_000;
    private static final int REVISION_POLL_MS = 5;
    private static final int SETTLED_POLL_MS = 20;

    private final TrialFile file;
    private final Path out;

    LogWatcher(TrialFile file, Path out) {
        this.file = file;
        this.out = out;
    }

    /** Waits until some door has a shard assignment by this revision of the agreement, 10 s at most. */
    void awaitRevision(String revision) throws IOException, InterruptedException {
        long timeoutUs = EventJournal.nowUs() + REVISION_TIMEOUT_US;
        while (EventJournal.nowUs() < timeoutUs) {
            for (Door door : file.doors()) {
                if (isLogged(
                        door.name(),
                        line -> line.contains("\"event\":\"division\"")
                                && line.contains("\"revision\":" + revision + ","))) {
                    return;
                }
            }
            Thread.sleep(REVISION_POLL_MS);
        }
    }

    /**
     * Waits until each of these doors has had a view of all of them, a minute at most: guards verdicts against a machine
     * that is slow to start processes.
     */
    void awaitSettled(List<String> doors) throws IOException, InterruptedException {
        long timeoutUs = EventJournal.nowUs() + SETTLED_TIMEOUT_US;
        List<String> members = doors.stream()
                .map(door -> "\"" + file.door(door).answersTo() + "\":")
                .toList();
        for (String door : doors) {
            while (EventJournal.nowUs() < timeoutUs
                    && !isLogged(
                            door,
                            line -> line.contains("\"event\":\"view\"")
                                    && members.stream().allMatch(line::contains))) {
                Thread.sleep(SETTLED_POLL_MS);
            }
        }
    }

    private boolean isLogged(String door, Predicate<String> wanted) throws IOException {
        Path log = out.resolve(door + ".jsonl");
        return Files.exists(log) && Files.readAllLines(log).stream().anyMatch(wanted);
    }
}
