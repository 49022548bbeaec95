package hopdrum.rig.trial;

import hopdrum.rig.trial.TrialFile.FrontDoor;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;

/** Waits for events in the front doors' logs. */
final class LogWatcher {
    private static final long REVISION_TIMEOUT_US = 10_000_000;
    private static final long COMPLETE_VIEWS_TIMEOUT_US = 60_000_000;
    private static final int REVISION_POLL_MS = 5;
    private static final int COMPLETE_VIEWS_POLL_MS = 20;

    private final TrialFile file;
    private final Path outputFolder;

    LogWatcher(TrialFile file, Path outputFolder) {
        this.file = file;
        this.outputFolder = outputFolder;
    }

    /**
     * Waits until a front door has logged a shard assignment by this revision of the agreement, for 10 s at most.
     *
     * @throws IOException if a log cannot be read
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    void awaitRevision(String revision) throws IOException, InterruptedException {
        long timeoutUs = EventJournal.nowUs() + REVISION_TIMEOUT_US;
        while (EventJournal.nowUs() < timeoutUs) {
            for (FrontDoor frontDoor : file.frontDoors()) {
                if (isLogged(
                        frontDoor.name(),
                        line -> line.contains("\"event\":\"division\"")
                                && line.contains("\"revision\":" + revision + ","))) {
                    return;
                }
            }
            Thread.sleep(REVISION_POLL_MS);
        }
    }

    /**
     * Waits until each of these front doors has logged a view with all of them as members, for 60 s at most, so that a
     * machine that is slow to start processes does not affect the verdict.
     *
     * @throws IOException if a log cannot be read
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    void awaitCompleteViews(List<String> frontDoors) throws IOException, InterruptedException {
        long timeoutUs = EventJournal.nowUs() + COMPLETE_VIEWS_TIMEOUT_US;
        List<String> members = frontDoors.stream()
                .map(frontDoor -> "\"" + file.frontDoor(frontDoor).memberName() + "\":")
                .toList();
        for (String frontDoor : frontDoors) {
            while (EventJournal.nowUs() < timeoutUs
                    && !isLogged(
                            frontDoor,
                            line -> line.contains("\"event\":\"view\"")
                                    && members.stream().allMatch(line::contains))) {
                Thread.sleep(COMPLETE_VIEWS_POLL_MS);
            }
        }
    }

    private boolean isLogged(String frontDoor, Predicate<String> wanted) throws IOException {
        Path log = outputFolder.resolve(frontDoor + ".jsonl");
        return Files.exists(log) && Files.readAllLines(log).stream().anyMatch(wanted);
    }
}
