package hopdrum.host;

/** Finds the most common of values that come by, in constant memory: the count of Misra and Gries (1982). */
public final class FrequentValueTracker {
    private static final int KEPT = 8;
    private final long apart;
    private final long[] seen = new long[KEPT];
    private final int[] count = new int[KEPT];

    /** Values that differ by less are the same. */
    public FrequentValueTracker(long apart) {
        this.apart = apart;
    }

    /** Counts a value; true if none has been more common so far. */
    public boolean recordIsMostFrequent(long value) {
        int common = 0;
        int mine = -1;
        int free = -1;
        for (int i = 0; i < KEPT; i++) {
            common = count[i] > count[common] ? i : common;
            mine = count[i] > 0 && Math.abs(seen[i] - value) < apart ? i : mine;
            free = count[i] == 0 ? i : free;
        }
        if (mine < 0 && free >= 0) {
            mine = free;
            seen[mine] = value;
        }
        if (mine >= 0) {
            count[mine]++;
        }
        for (int i = 0; i < KEPT && mine < 0; i++) {
            count[i]--;
        }
        return mine >= 0 && count[mine] >= count[common];
    }
}
