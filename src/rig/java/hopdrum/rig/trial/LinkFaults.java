package hopdrum.rig.trial;

/**
 * The faults of one direction of the link between two members; a change also affects messages in transit. Thread-safe.
 */
final class LinkFaults {
    private volatile boolean partitioned;
    private volatile boolean held;
    private volatile long delayUs;
    private volatile double lossRate;
    private volatile double duplicationRate;
    private volatile long bytesPerSecond;

    /** Drops all messages from now on. */
    void partition() {
        partitioned = true;
    }

    /** Holds all messages back from now on, until {@link #clear}. */
    void hold() {
        held = true;
    }

    /** Sets the one-way delay in microseconds. */
    void setDelay(long oneWayUs) {
        delayUs = oneWayUs;
    }

    /** Sets the fraction of messages, 0 to 1, that are lost. */
    void setLossRate(double rate) {
        lossRate = rate;
    }

    /** Sets the fraction of messages, 0 to 1, that arrive twice. */
    void setDuplicationRate(double rate) {
        duplicationRate = rate;
    }

    /** Limits the bandwidth in bytes per second; 0 means no limit. */
    void setBandwidth(long limitBytesPerSecond) {
        bytesPerSecond = limitBytesPerSecond;
    }

    /** Ends all faults; messages that were held back are delivered. */
    void clear() {
        partitioned = false;
        held = false;
        delayUs = 0;
        lossRate = 0;
        duplicationRate = 0;
        bytesPerSecond = 0;
    }

    boolean isPartitioned() {
        return partitioned;
    }

    boolean isHeld() {
        return held;
    }

    long delayUs() {
        return delayUs;
    }

    double lossRate() {
        return lossRate;
    }

    double duplicationRate() {
        return duplicationRate;
    }

    /** Returns the bandwidth limit in bytes per second; 0 means no limit. */
    long bytesPerSecond() {
        return bytesPerSecond;
    }
}
