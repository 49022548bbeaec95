package hopdrum.fleet.view;

import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/** Shuffles by a SplittableRandom, which Collections.shuffle does not take on Java 17. */
final class RandomOrder {
    private RandomOrder() {}

    static void shuffle(List<?> list, SplittableRandom random) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }

    /** A random sample without replacement, in random order: a view of the list, which is reordered in place. */
    static <T> List<T> sample(List<T> list, int most, SplittableRandom random) {
        int size = Math.min(most, list.size());
        for (int i = 0; i < size; i++) {
            Collections.swap(list, i, i + random.nextInt(list.size() - i));
        }
        return list.subList(0, size);
    }
}
