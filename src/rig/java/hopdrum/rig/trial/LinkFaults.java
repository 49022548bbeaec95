package hopdrum.rig.trial;

/** The faults of one direction of the link between two processes; changed while messages are under way. Thread-safe. */
final class LinkFaults {
    private volatile boolean partitioned;
    private volatile boolean held;
    private volatile long delayUs;
    private volatile double lossRate;
    private volatile double duplicationRate;
    private volatile long bytesPerSecond;

    /** From now on nothing gets through. */
    void partition() {
        partitioned = true;
    }

    /** From now on messages wait. */
    void hold() {
        held = true;
    }

    void setDelay(long oneWayUs) {
        delayUs = oneWayUs;
    }

    /** From now on this part of all messages, 0 to 1, is lost. */
    void setLossRate(double rate) {
        lossRate = rate;
    }

    /** From now on this part of all messages, 0 to 1, arrives twice. */
    void setDuplicationRate(double rate) {
        duplicationRate = rate;
    }

    void setBandwidth(long limitBytesPerSecond) {
        bytesPerSecond = limitBytesPerSecond;
    }

    /** Ends all faults. */
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

    /** 0: no limit. */
    long bytesPerSecond() {
        return bytesPerSecond;
    }
}
