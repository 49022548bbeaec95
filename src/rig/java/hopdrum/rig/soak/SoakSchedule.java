package hopdrum.rig.soak;

import java.net.InetSocketAddress;

/** Where the front door of a soak is reached, and how far its end has come; written by one thread, read by all. */
final class SoakSchedule {
    final InetSocketAddress frontDoor;
    private volatile long sigtermNanos; // 0 before
    private volatile boolean ended;

    SoakSchedule(InetSocketAddress frontDoor) {
        this.frontDoor = frontDoor;
    }

    void sigtermSent() {
        sigtermNanos = System.nanoTime();
    }

    /** Called when the process has ended or has been killed: from now on, nothing is answered. */
    void processEnded() {
        ended = true;
    }

    boolean hasEnded() {
        return ended;
    }

    boolean isTerminating() {
        return sigtermNanos != 0;
    }

    /** The time since SIGTERM in milliseconds; negative before. */
    long millisSinceSigterm() {
        return sigtermNanos == 0 ? -1 : (System.nanoTime() - sigtermNanos) / 1_000_000;
    }
}
