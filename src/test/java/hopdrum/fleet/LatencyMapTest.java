package hopdrum.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.fleet.latency.LatencyMap;
import hopdrum.fleet.latency.LatencyMap.Kind;
import hopdrum.fleet.message.LatencyReading;
import hopdrum.fleet.message.Member;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards the latency map against faults in the readings and messages that it is built from: single slow samples, wrong
 * readings of one observer, latencies that no member has measured, old readings, forged readings under the member's own
 * name, and messages that arrive late, repeatedly or out of order.
 */
class LatencyMapTest {
    private static final long SECOND_US = 1_000_000;
    private static final long NOW_US = 1_000 * SECOND_US;
    private final LatencyMap map = new LatencyMap(member("me", "a"), SECOND_US);

    private static Member member(String name, String site) {
        return new Member(name, 5, 7, "north", site, 0, "127.0.0.1:9");
    }

    private static LatencyReading reading(String observer, String from, String to, long seq, long rttUs, long ageUs) {
        return new LatencyReading(observer, 5, from, to, seq, rttUs, ageUs);
    }

    @Test
    void oneSlowSampleDoesNotRaiseTheEstimateButTwoDo() {
        map.addSample(member("p", "b"), 20_000, NOW_US);
        map.addSample(member("p", "b"), 900_000, NOW_US + SECOND_US);
        assertThat(map.estimate("a", "b", NOW_US + SECOND_US).rttUs()).isEqualTo(20_000);
        map.addSample(member("q", "b"), 800_000, NOW_US + 2 * SECOND_US);
        assertThat(map.estimate("a", "b", NOW_US + 2 * SECOND_US).rttUs()).isEqualTo(800_000);
    }

    @Test
    void oneWrongObserverIsOutvotedByOthersAndAloneCannotGoBelowTheOwnMinimumOrHalfTheDerivedLatency() {
        map.addSample(member("p", "b"), 20_000, NOW_US);
        map.merge(List.of(reading("liar", "a", "b", 1, 100, 0)), NOW_US);
        assertThat(map.estimate("a", "b", NOW_US).rttUs()).isEqualTo(20_000);
        map.merge(List.of(reading("x", "b", "a", 1, 21_000, 0), reading("y", "a", "b", 1, 20_500, 0)), NOW_US);
        assertThat(map.estimate("a", "b", NOW_US).rttUs()).isBetween(20_000L, 21_000L);
        map.merge(List.of(reading("x", "b", "c", 1, 30_000, 0), reading("liar", "a", "c", 1, 100, 0)), NOW_US);
        assertThat(map.estimate("a", "c", NOW_US)).satisfies(estimate -> {
            assertThat(estimate.kind()).isEqualTo(Kind.TOLD);
            assertThat(estimate.rttUs())
                    .as("the derived bounds over b are 10 and 50 ms: at least half of their middle")
                    .isEqualTo(15_000);
            assertThat(estimate.confidence()).isLessThanOrEqualTo(0.3);
        });
    }

    @Test
    void anUnmeasuredLatencyIsDerivedWithinTheBoundsOverAThirdSite() {
        map.addSample(member("p", "b"), 20_000, NOW_US);
        map.merge(List.of(reading("x", "b", "c", 1, 30_000, 0)), NOW_US);
        assertThat(map.estimate("a", "c", NOW_US).kind()).isEqualTo(Kind.ESTIMATED);
        assertThat(map.estimate("a", "c", NOW_US).rttUs()).isBetween(10_000L, 50_000L);
        assertThat(map.estimate("a", "d", NOW_US)).isNull();
    }

    @Test
    void oldReadingsLowerTheConfidenceAndExpire() {
        map.merge(
                List.of(
                        reading("x", "b", "c", 1, 10_000, 0),
                        reading("y", "b", "c", 1, 11_000, 0),
                        reading("z", "c", "b", 1, 12_000, 0)),
                NOW_US);
        double fresh = map.estimate("b", "c", NOW_US).confidence();
        assertThat(map.estimate("b", "c", NOW_US + 9 * SECOND_US).confidence()).isLessThan(fresh / 4);
        assertThat(map.estimate("b", "c", NOW_US + 61 * SECOND_US)).isNull();
        map.merge(List.of(reading("x", "b", "c", 2, 10_000, 3_000 * SECOND_US)), NOW_US + 62 * SECOND_US);
        assertThat(map.estimate("b", "c", NOW_US + 62 * SECOND_US)).isNull();
    }

    @Test
    void readingsUnderThisMembersOwnNameAreIgnored() {
        map.addSample(member("p", "b"), 20_000, NOW_US);
        map.merge(List.of(reading("me", "a", "b", 99, 1, 0)), NOW_US);
        assertThat(map.estimate("a", "b", NOW_US).rttUs()).isEqualTo(20_000);
    }

    /** Two maps are fed the same readings, one of them in random order and with repeats: both must be equal. */
    @Property(tries = 100)
    void reorderedAndRepeatedMessagesDoNotChangeTheMap(@ForAll long seed) {
        Random random = new Random(seed);
        List<LatencyReading> all = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            all.add(reading(
                    "o" + random.nextInt(5),
                    "b",
                    "c",
                    1 + random.nextInt(8),
                    1_000 + random.nextInt(50_000),
                    random.nextInt(5) * SECOND_US));
        }
        all.sort((x, y) -> Long.compare(x.seq(), y.seq()));
        List<LatencyReading> distinct = new ArrayList<>(); // an observer never reuses a sequence number
        for (LatencyReading reading : all) {
            if (distinct.stream()
                    .noneMatch(other -> other.observer().equals(reading.observer()) && other.seq() == reading.seq())) {
                distinct.add(reading);
            }
        }
        LatencyMap inOrder = new LatencyMap(member("me", "a"), SECOND_US);
        LatencyMap shuffled = new LatencyMap(member("me", "a"), SECOND_US);
        inOrder.merge(distinct, NOW_US);
        List<LatencyReading> repeated = new ArrayList<>(distinct);
        repeated.addAll(distinct.subList(0, distinct.size() / 2));
        Collections.shuffle(repeated, random);
        repeated.forEach(reading -> shuffled.merge(List.of(reading), NOW_US));
        assertThat(shuffled.estimate("b", "c", NOW_US)).isEqualTo(inOrder.estimate("b", "c", NOW_US));
        assertThat(shuffled.readingsToShare(NOW_US))
                .containsExactlyInAnyOrderElementsOf(inOrder.readingsToShare(NOW_US));
    }
}
