package hopdrum.rig.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against rules that a front door breaks under failing system calls, signals, clock steps and bad clients. */
class SoakIT {
    private static final long FIRST_SEED = 1;
    private static final long LAST_SEED = 10;
    private static final int PARALLEL = 2;
    private static final String BROKEN = "  broken ";
    private static final Predicate<String> RAN_TWICE = line -> line.startsWith(BROKEN + "twice");

    @TempDir
    static Path folder;

    private static List<String> results;

    @BeforeAll
    static void play() throws Exception {
        results = Soak.play(Path.of(""), folder, FIRST_SEED, LAST_SEED, PARALLEL);
    }

    private static Stream<String> violations() {
        return results.stream().flatMap(String::lines).filter(line -> line.startsWith(BROKEN));
    }

    @Test
    void noRequestRunsTwice() {
        assertThat(violations().filter(RAN_TWICE)).isEmpty();
    }

    @Test
    void allOtherRulesAreKept() {
        assertThat(results).hasSize((int) (LAST_SEED - FIRST_SEED + 1));
        assertThat(violations().filter(RAN_TWICE.negate())).isEmpty();
    }
}
