package hopdrum.rig.trial;

/**
 * Records the maximum delay with which a thread of the trial wakes from sleep, for each second. The delays tell a slow
 * machine from a slow program.
 */
final class SchedulingDelayMonitor implements AutoCloseable {
    private static final long WINDOW_US = 1_000_000;
    private static final int SLEEP_MS = 5;

    private final EventJournal journal;
    private final Thread thread;

    /** Starts measuring at once. */
    SchedulingDelayMonitor(EventJournal journal) {
        this.journal = journal;
        this.thread = DaemonThreads.create("scheduling-delay", this::measure);
        thread.start();
    }

    private void measure() {
        try {
            while (true) {
                long maxDelayUs = 0;
                for (long endUs = EventJournal.nowUs() + WINDOW_US; EventJournal.nowUs() < endUs; ) {
                    long beforeUs = EventJournal.nowUs();
                    Thread.sleep(SLEEP_MS);
                    maxDelayUs = Math.max(maxDelayUs, EventJournal.nowUs() - beforeUs - SLEEP_MS * 1_000L);
                }
                journal.event("late").with("us", maxDelayUs).write();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
