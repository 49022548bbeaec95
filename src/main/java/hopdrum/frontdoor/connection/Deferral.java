package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.lifecycle.EventLoop;

/** The state of a complete message that waits for a while, and the checks whether it still has to. */
final class Deferral {
    private static final long CHECK_INTERVAL_US = 1_000;

    private final EventLoop loop;
    private final Runnable check;
    private long sinceUs;
    private long untilUs; // 0 while no message waits
    private boolean checkScheduled;

    /**
     * Starts without a message that waits.
     *
     * @param loop the event loop on which the checks run
     * @param check is run in short intervals while a message waits
     */
    Deferral(EventLoop loop, Runnable check) {
        this.loop = loop;
        this.check = check;
    }

    /** Lets a message wait for a time in microseconds. */
    void start(long durationUs) {
        sinceUs = loop.nowUs();
        untilUs = sinceUs + durationUs;
        scheduleCheck();
    }

    /** Lets the message wait no longer. */
    void end() {
        untilUs = 0;
    }

    /** Whether a message waits. */
    boolean isActive() {
        return untilUs != 0;
    }

    /** How long the message has waited, in microseconds; 0 if none waits. */
    long waitedUs() {
        return isActive() ? loop.nowUs() - sinceUs : 0;
    }

    /** Whether the message has waited for its time. */
    boolean isOver() {
        return loop.nowUs() >= untilUs;
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            loop.scheduleAfter(CHECK_INTERVAL_US, this::runCheck);
        }
    }

    private void runCheck() {
        checkScheduled = false;
        if (isActive()) {
            check.run();
        }
        if (isActive()) {
            scheduleCheck();
        }
    }
}
