package hopdrum.fleet.view;

import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/** Shuffling and sampling with a SplittableRandom, which Collections.shuffle does not accept in Java 17. */
final class RandomOrder {
    private RandomOrder() {}

    static void shuffle(List<?> list, SplittableRandom random) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }

    /**
     * Draws a random sample without replacement, in random order. Reorders the list in place and returns a view of its
     * beginning.
     */
    static <T> List<T> sample(List<T> list, int maxCount, SplittableRandom random) {
        int size = Math.min(maxCount, list.size());
        for (int i = 0; i < size; i++) {
            Collections.swap(list, i, i + random.nextInt(list.size() - i));
        }
        return list.subList(0, size);
    }
}
