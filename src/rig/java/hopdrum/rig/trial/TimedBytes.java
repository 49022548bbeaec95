package hopdrum.rig.trial;

/** Bytes on their way through a proxy, and when they came in. The array is not copied: nobody changes it. */
final class TimedBytes {
    private final byte[] bytes;
    private final long receivedUs;

    private TimedBytes(byte[] bytes, long receivedUs) {
        this.bytes = bytes;
        this.receivedUs = receivedUs;
    }

    static TimedBytes receivedNow(byte[] bytes) {
        return new TimedBytes(bytes, EventJournal.nowUs());
    }

    byte[] bytes() {
        return bytes;
    }

    int length() {
        return bytes.length;
    }

    long receivedUs() {
        return receivedUs;
    }
}
