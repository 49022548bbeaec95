package hopdrum.rig;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.rig.check.TrialChecker;
import hopdrum.rig.trial.Trial;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the short trials with the built jar and expects all rules to be kept. Runs the trials with planted faults and
 * expects the checker to report the rules that these faults break, so that a checker which misses a violation fails
 * here.
 */
class TrialsIT {
    private static final int CONCURRENT_TRIALS = 3;
    /** The rules that a shortage of CPU can break; all other rules hold on a machine of any speed. */
    private static final Set<String> TIMED_RULES =
            Set.of("settled", "says", "map", "share", "in_time", "unchanged", "dropped", "shares", "owned", "refusal");

    private static final Path HOME = Path.of("").toAbsolutePath();

    @TempDir
    static Path folder;

    private static List<String> play(Path trial, long seed) throws IOException, InterruptedException {
        List<String> output = new ArrayList<>();
        Trial.run(trial, seed, folder.resolve(trial.getFileName() + "-" + seed), HOME, output::add);
        output.forEach(line -> System.out.println(trial.getFileName() + ", seed " + seed + ": " + line));
        return output;
    }

    @TestFactory
    List<DynamicTest> theShortTrialsKeepAllRules() throws IOException {
        ExecutorService pool = Executors.newFixedThreadPool(CONCURRENT_TRIALS);
        List<DynamicTest> tests = new ArrayList<>();
        try (Stream<Path> trials = Files.list(HOME.resolve("trials/short"))) {
            for (Path trial : trials.sorted().toList()) {
                Future<List<String>> played = pool.submit(() -> play(trial, 1));
                tests.add(DynamicTest.dynamicTest(
                        trial.getFileName().toString(),
                        () -> assertThat(playAgainIfTimedRuleBroke(trial, played.get()))
                                .last()
                                .isEqualTo("verdict: kept")));
            }
        }
        pool.shutdown();
        return tests;
    }

    /**
     * Reports a trial as flaky if it broke a timed rule while other trials ran, and plays it once more with another
     * seed. Any other outcome is returned as it is.
     */
    private static List<String> playAgainIfTimedRuleBroke(Path trial, List<String> output)
            throws IOException, InterruptedException {
        String[] verdict = output.get(output.size() - 1).split(" ", -1);
        if (verdict.length <= 2 || !TIMED_RULES.contains(verdict[2])) {
            return output;
        }
        System.out.println("FLAKY " + trial.getFileName() + ": broke the timed rule " + verdict[2] + " once");
        return play(trial, 2);
    }

    private static Set<String> brokenRules(String trial) throws IOException, InterruptedException {
        Path file = HOME.resolve("trials/planted/" + trial);
        assertThat(play(file, 1)).last().asString().startsWith("verdict: broken ");
        return TrialChecker.check(folder.resolve(file.getFileName() + "-1")).violatedRules();
    }

    @Test
    void theCheckerCatchesFrontDoorsThatBreakTheRulesOnRequests() throws Exception {
        assertThat(brokenRules("doors.yaml"))
                .contains("answer", "once", "quota", "process", "settled", "says", "share", "in_time");
    }

    @Test
    void theCheckerCatchesALeaseThatIsHeldTooLong() throws Exception {
        assertThat(brokenRules("lease.yaml")).contains("claims");
    }

    @Test
    void theCheckerCatchesViewsThatNoMajorityAccepted() throws Exception {
        assertThat(brokenRules("views.yaml")).contains("majority", "one-view", "dropped", "unchanged");
    }

    @Test
    void theCheckerCatchesAFalseLatencyMap() throws Exception {
        assertThat(brokenRules("map.yaml")).contains("map");
    }

    @Test
    void theCheckerCatchesOwnersWithoutAnAgreementAndRequestsExecutedAtTheirBackends() throws Exception {
        assertThat(brokenRules("owners.yaml"))
                .contains("one-owner", "owner", "one-operator", "agreed", "moves", "shares", "owned", "refusal");
    }

    @Test
    void theCheckerCatchesDecreasingVersionsAndIncarnationNumbers() throws Exception {
        assertThat(brokenRules("logs.yaml")).contains("order", "start");
    }
}
