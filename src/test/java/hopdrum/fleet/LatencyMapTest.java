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

/** The latency map, one failure each: wrong readings, pauses, old readings, messages in any order. */
class LatencyMapTest {
    private static final long S = 1_000_000;
    private static final long NOW = 1_000 * S;
    private final LatencyMap map = new LatencyMap(member("me", "a"), S);

    private static Member member(String name, String site) {
        return new Member(name, 5, 7, "north", site, 0, "127.0.0.1:9");
    }

    private static LatencyReading reading(String by, String from, String to, long seq, long rttUs, long ageUs) {
        return new LatencyReading(by, 5, from, to, seq, rttUs, ageUs);
    }

    @Test
    void oneSlowSampleDoesNotRaiseTheEstimateAndTwoDo() {
        map.addSample(member("p", "b"), 20_000, NOW);
        map.addSample(member("p", "b"), 900_000, NOW + S);
        assertThat(map.estimate("a", "b", NOW + S).rttUs()).isEqualTo(20_000);
        map.addSample(member("q", "b"), 800_000, NOW + 2 * S);
        assertThat(map.estimate("a", "b", NOW + 2 * S).rttUs()).isEqualTo(800_000);
    }

    @Test
    void aLiarAmongManyObserversChangesNothingAndAloneAtMostByTwoAndNeverBelowTheOwnMinimum() {
        map.addSample(member("p", "b"), 20_000, NOW);
        map.merge(List.of(reading("liar", "a", "b", 1, 100, 0)), NOW);
        assertThat(map.estimate("a", "b", NOW).rttUs()).isEqualTo(20_000);
        map.merge(List.of(reading("x", "b", "a", 1, 21_000, 0), reading("y", "a", "b", 1, 20_500, 0)), NOW);
        assertThat(map.estimate("a", "b", NOW).rttUs()).isBetween(20_000L, 21_000L);
        map.merge(List.of(reading("x", "b", "c", 1, 30_000, 0), reading("liar", "a", "c", 1, 100, 0)), NOW);
        assertThat(map.estimate("a", "c", NOW)).satisfies(w -> {
            assertThat(w.kind()).isEqualTo(Kind.TOLD);
            assertThat(w.rttUs())
                    .as("10 to 50 ms by way of b: half of the middle at least")
                    .isEqualTo(15_000);
            assertThat(w.confidence()).isLessThanOrEqualTo(0.3);
        });
    }

    @Test
    void aLatencyThatNobodyMeasuredIsEstimatedWithinTheBoundsOverAThirdSite() {
        map.addSample(member("p", "b"), 20_000, NOW);
        map.merge(List.of(reading("x", "b", "c", 1, 30_000, 0)), NOW);
        assertThat(map.estimate("a", "c", NOW).kind()).isEqualTo(Kind.ESTIMATED);
        assertThat(map.estimate("a", "c", NOW).rttUs()).isBetween(10_000L, 50_000L);
        assertThat(map.estimate("a", "d", NOW)).isNull();
    }

    @Test
    void oldReadingsWeighLessAndExpire() {
        map.merge(
                List.of(
                        reading("x", "b", "c", 1, 10_000, 0),
                        reading("y", "b", "c", 1, 11_000, 0),
                        reading("z", "c", "b", 1, 12_000, 0)),
                NOW);
        double fresh = map.estimate("b", "c", NOW).confidence();
        assertThat(map.estimate("b", "c", NOW + 9 * S).confidence()).isLessThan(fresh / 4);
        assertThat(map.estimate("b", "c", NOW + 61 * S)).isNull();
        map.merge(List.of(reading("x", "b", "c", 2, 10_000, 3_000 * S)), NOW + 62 * S);
        assertThat(map.estimate("b", "c", NOW + 62 * S)).isNull();
    }

    @Test
    void readingsUnderThisMembersOwnNameAreIgnored() {
        map.addSample(member("p", "b"), 20_000, NOW);
        map.merge(List.of(reading("me", "a", "b", 99, 1, 0)), NOW);
        assertThat(map.estimate("a", "b", NOW).rttUs()).isEqualTo(20_000);
    }

    /** Any order, any loss that is made up for, any repeat: the same map. */
    @Property(tries = 100)
    void theOrderLossAndRepeatOfMessagesDoNotChangeTheMap(@ForAll long seed) {
        Random random = new Random(seed);
        List<LatencyReading> all = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            all.add(reading(
                    "o" + random.nextInt(5),
                    "b",
                    "c",
                    1 + random.nextInt(8),
                    1_000 + random.nextInt(50_000),
                    random.nextInt(5) * S));
        }
        all.sort((x, y) -> Long.compare(x.seq(), y.seq()));
        List<LatencyReading> distinct = new ArrayList<>(); // one content a number, as an honest observer has
        for (LatencyReading r : all) {
            if (distinct.stream().noneMatch(d -> d.observer().equals(r.observer()) && d.seq() == r.seq())) {
                distinct.add(r);
            }
        }
        LatencyMap one = new LatencyMap(member("me", "a"), S);
        LatencyMap two = new LatencyMap(member("me", "a"), S);
        one.merge(distinct, NOW);
        List<LatencyReading> again = new ArrayList<>(distinct);
        again.addAll(distinct.subList(0, distinct.size() / 2));
        Collections.shuffle(again, random);
        again.forEach(r -> two.merge(List.of(r), NOW));
        assertThat(two.estimate("b", "c", NOW)).isEqualTo(one.estimate("b", "c", NOW));
        assertThat(two.readingsToShare(NOW)).containsExactlyInAnyOrderElementsOf(one.readingsToShare(NOW));
    }
}
