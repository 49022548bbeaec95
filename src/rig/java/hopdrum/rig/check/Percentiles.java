package hopdrum.rig.check;

import java.util.List;

/** Percentiles of sorted samples, without interpolation. */
final class Percentiles {
    private Percentiles() {}

    /** The sample at this percentile; 100 is the largest. The list is sorted and not empty. */
    static <T> T of(List<T> sorted, int percent) {
        return sorted.get(Math.min(sorted.size() * percent / 100, sorted.size() - 1));
    }

    /** The percentile of samples in microseconds, as milliseconds; 0 without samples. */
    static double millis(List<Long> sortedUs, int percent) {
        return sortedUs.isEmpty() ? 0 : of(sortedUs, percent) / 1e3;
    }

    /** The percentile of samples in microseconds, as seconds; 0 without samples. */
    static double seconds(List<Long> sortedUs, int percent) {
        return sortedUs.isEmpty() ? 0 : of(sortedUs, percent) / 1e6;
    }
}
