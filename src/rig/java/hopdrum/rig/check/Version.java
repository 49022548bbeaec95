package hopdrum.rig.check;

import java.util.Comparator;

/** Identifies a view or a shard assignment ("division" in the logs) by an era and a number within the era. */
record Version(long era, long number) implements Comparable<Version> {
    private static final Comparator<Version> ORDER =
            Comparator.comparingLong(Version::era).thenComparingLong(Version::number);

    Version predecessor() {
        return new Version(era, number - 1);
    }

    @Override
    public int compareTo(Version other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return era + "/" + number;
    }
}
