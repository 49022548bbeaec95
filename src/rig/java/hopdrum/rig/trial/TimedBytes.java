package hopdrum.rig.trial;

/** Bytes in transit through a proxy and the time of their receipt. The array is not copied and must not be changed. */
final class TimedBytes {
    private final byte[] bytes;
    private final long receivedUs;

    private TimedBytes(byte[] bytes, long receivedUs) {
        this.bytes = bytes;
        this.receivedUs = receivedUs;
    }

    /** Creates bytes that are received now. */
    static TimedBytes receivedNow(byte[] bytes) {
        return new TimedBytes(bytes, EventJournal.nowUs());
    }

    byte[] bytes() {
        return bytes;
    }

    int length() {
        return bytes.length;
    }

    /** Returns the time of receipt in microseconds, by {@link EventJournal#nowUs}. */
    long receivedUs() {
        return receivedUs;
    }
}
