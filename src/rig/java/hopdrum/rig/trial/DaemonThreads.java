package hopdrum.rig.trial;

/**
 * Creates named daemon threads. Their stacks are small because a trial has hundreds of threads; they are daemons so
 * that none keeps the process of the trial alive.
 */
public final class DaemonThreads {
    private static final long STACK_BYTES = 256 << 10;

    private DaemonThreads() {}

    /** Creates a thread that is not started yet. */
    public static Thread create(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Creates a thread and starts it. */
    public static Thread start(String name, Runnable task) {
        Thread thread = create(name, task);
        thread.start();
        return thread;
    }
}
