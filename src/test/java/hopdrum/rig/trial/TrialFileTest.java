package hopdrum.rig.trial;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks what is read from trial files, and that an invalid file is rejected with all its errors at once. */
class TrialFileTest {
    @TempDir
    Path folder;

    private TrialFile read(String text, long seed) throws IOException {
        return TrialFile.read(Files.writeString(folder.resolve("trial.yaml"), text), seed);
    }

    @Test
    void everyTrialInTheRepositoryCanBeRead() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("trials"))) {
            List<Path> trials =
                    files.filter(file -> file.toString().endsWith(".yaml")).toList();
            assertThat(trials).isNotEmpty();
            for (Path trial : trials) {
                assertThat(TrialFile.read(trial, 1).frontDoors())
                        .as(trial.toString())
                        .isNotEmpty();
            }
        }
    }

    @Test
    void absentKeysHaveDefaults() throws IOException {
        TrialFile file = read("doors: [{name: a}]\nfounders: [a]\nsteps: []\n", 1);
        assertThat(file.frontDoors()).containsExactly(new TrialFile.FrontDoor("a", "north", "here", "a", ""));
        assertThat(file.probePeriodMs()).isEqualTo(200);
        assertThat(file.leaseMs()).isEqualTo(1_500);
        assertThat(file.backends()).isEqualTo(new TrialFile.Backends(4, 5, 0));
        assertThat(file.load()).isEqualTo(new TrialFile.Load(0, 10, 5, 10, 0, 0, 2_000, List.of("a")));
        assertThat(file.shards().isUsed()).isFalse();
        assertThat(file.lengthMs()).isEqualTo(20_000);
    }

    @Test
    void aDelayBetweenTwoSitesAppliesInBothDirections() throws IOException {
        TrialFile file = read("doors: [{name: a}, {name: b, site: far}]\ndelays_ms: {here-far: 7.5}\n", 1);
        assertThat(file.delayMs("here", "far")).isEqualTo(7.5);
        assertThat(file.delayMs("far", "here")).isEqualTo(7.5);
        assertThat(file.delayMs("far", "far")).isZero();
    }

    @Test
    void allErrorsInAFileAreReportedAtOnce() {
        String text = "colour: red\nprobe_period_ms: -1\nlength_s: 3\ndoors: [{name: a, size: 2}]\n"
                + "warm: [b]\ndelays_ms: {here-mars: 3}\nterms: {east: {moves: 1}}\nsteps:\n"
                + "  - {kill: a}\n  - {at_s: 1, shout: a}\n  - {at_s: 9, cut: all, from: a, to: c}\n";
        assertThatThrownBy(() -> read(text, 1))
                .isInstanceOf(InvalidTrialFileException.class)
                .hasMessageContainingAll(
                        "the trial has the unknown key colour",
                        "probe_period_ms: expected a number of at least 0, got -1",
                        "a front door has the unknown key size",
                        "no front door has the name b",
                        "delays_ms: here-mars: 3, expected SITE-SITE",
                        "terms: operator east has no front door",
                        "a step needs an action and a numeric at_s: {kill=a}",
                        "a step has the unknown key shout",
                        "no front door has the name c",
                        "the step cut at 9.0 s is after the trial's end at 3.0 s");
    }

    @Test
    void aFileWithInvalidYamlIsRejectedByItsName() {
        assertThatThrownBy(() -> read("a: [1\n b", 1))
                .isInstanceOf(InvalidTrialFileException.class)
                .hasMessageContaining("trial.yaml: invalid YAML: ");
    }

    @Test
    void theSameSeedDrawsTheSameFaultsAndAnotherSeedDrawsOthers() throws IOException {
        String text = "doors: [{name: a}, {name: b}, {name: c}]\n"
                + "random: {from_s: 1, to_s: 15, every_s: 1, hold_s: 1, most_down: 1,"
                + " of: [kill, term, pause, cut, lose]}\n";
        List<Step> steps = read(text, 1).steps();
        assertThat(steps).hasSizeGreaterThan(4).isEqualTo(read(text, 1).steps());
        assertThat(steps).isNotEqualTo(read(text, 2).steps());
        assertThat(steps).extracting(Step::atMs).isSorted();
    }
}
