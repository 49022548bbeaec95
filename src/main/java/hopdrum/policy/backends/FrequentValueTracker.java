package hopdrum.policy.backends;

/** Finds the most frequent of the recorded values in constant memory, with the summary of Misra and Gries (1982). */
final class FrequentValueTracker {
    private static final int CAPACITY = 8;

    private final long tolerance;
    private final long[] values = new long[CAPACITY];
    private final int[] counts = new int[CAPACITY];

    /** Creates a tracker that takes values as equal if they differ by less than the tolerance. */
    FrequentValueTracker(long tolerance) {
        this.tolerance = tolerance;
    }

    /** Records a value; returns true if no other value has been more frequent so far. */
    boolean recordIsMostFrequent(long value) {
        int mostFrequent = 0;
        int match = -1;
        int free = -1;
        for (int i = 0; i < CAPACITY; i++) {
            mostFrequent = counts[i] > counts[mostFrequent] ? i : mostFrequent;
            match = counts[i] > 0 && Math.abs(values[i] - value) < tolerance ? i : match;
            free = counts[i] == 0 ? i : free;
        }
        if (match < 0 && free >= 0) {
            match = free;
            values[match] = value;
        }
        if (match < 0) {
            decrementAll();
            return false;
        }
        counts[match]++;
        return counts[match] >= counts[mostFrequent];
    }

    private void decrementAll() {
        for (int i = 0; i < CAPACITY; i++) {
            counts[i]--;
        }
    }
}
