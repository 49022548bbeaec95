package hopdrum.rig.trial;

/** Daemon threads by name, with small stacks: a trial has hundreds, and none may outlive the rig. */
final class DaemonThreads {
    private static final long STACK_BYTES = 256 << 10;

    private DaemonThreads() {}

    static Thread create(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    static Thread start(String name, Runnable task) {
        Thread thread = create(name, task);
        thread.start();
        return thread;
    }
}
