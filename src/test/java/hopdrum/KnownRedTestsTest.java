package hopdrum;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a list of known failures that passes over a test which it does not name. */
class KnownRedTestsTest {
    private final KnownRedTests listed = KnownRedTests.parse(List.of(
            "KnownRedTestsTest.first: seen once; issue 1",
            "TrialsIT trials/short/crash.yaml (./trial trials/short/crash.yaml --seed 1): broken once; issue 2",
            "review/1 (review/1/run.sh, no seed): KnownRedTestsTest.second is no entry; issue 3"));

    @Test
    void onlyTheTestsThatAnEntryBeginsWithAreListed() {
        assertThat(listed.containsMethod(KnownRedTestsTest.class, "first")).isTrue();
        assertThat(listed.containsMethod(KnownRedTestsTest.class, "second")).isFalse();
        assertThat(listed.containsMethod(KnownRedTestsTest.class, "firs")).isFalse();
        assertThat(listed.containsMethod(KnownRedTests.class, "first")).isFalse();
        assertThat(listed.containsTrial(KnownRedTestsTest.class, "crash.yaml")).isFalse();
    }
}
