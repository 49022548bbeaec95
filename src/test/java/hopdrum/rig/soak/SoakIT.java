package hopdrum.rig.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against rules that a front door breaks under failing system calls, signals, clock steps and bad clients. */
class SoakIT {
    private static final long FIRST_SEED = 1;
    private static final long LAST_SEED = 10;
    private static final int PARALLEL = 2;

    @TempDir
    Path folder;

    @Test
    @Timeout(value = 5, unit = TimeUnit.MINUTES)
    void theFirstSeedsKeepAllRules() throws Exception {
        List<String> results = Soak.play(Path.of(""), folder, FIRST_SEED, LAST_SEED, PARALLEL);
        assertThat(results).allSatisfy(result -> assertThat(result).endsWith(Soak.KEPT));
    }
}
