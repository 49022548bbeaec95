package hopdrum.rig.soak;

import hopdrum.rig.trial.DaemonThreads;

/** Measures how late a sleeping thread of this process wakes, which tells a busy machine from a slow front door. */
final class LatenessMonitor implements AutoCloseable {
    private static final int SLEEP_MS = 5;

    private volatile long maxLateNanos;
    private final Thread thread = DaemonThreads.start("lateness", this::measure);

    private void measure() {
        try {
            while (true) {
                long beforeNanos = System.nanoTime();
                Thread.sleep(SLEEP_MS);
                long lateNanos = System.nanoTime() - beforeNanos - SLEEP_MS * 1_000_000L;
                maxLateNanos = Math.max(maxLateNanos, lateNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    long maxLateMillis() {
        return maxLateNanos / 1_000_000;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
