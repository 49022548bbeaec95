package hopdrum.rig.check;

import java.util.List;

/** Computes percentiles of sorted samples, without interpolation. */
final class Percentiles {
    private Percentiles() {}

    /** Returns the sample at a percentile; 100 is the largest sample. The list must be sorted and not empty. */
    static <T> T of(List<T> sorted, int percent) {
        return sorted.get(Math.min(sorted.size() * percent / 100, sorted.size() - 1));
    }

    /** Returns a percentile of samples in microseconds, in milliseconds; 0 if there are no samples. */
    static double millis(List<Long> sortedUs, int percent) {
        return sortedUs.isEmpty() ? 0 : of(sortedUs, percent) / 1e3;
    }

    /** Returns a percentile of samples in microseconds, in seconds; 0 if there are no samples. */
    static double seconds(List<Long> sortedUs, int percent) {
        return sortedUs.isEmpty() ? 0 : of(sortedUs, percent) / 1e6;
    }
}
