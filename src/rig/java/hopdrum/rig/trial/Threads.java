package hopdrum.rig.trial;

/** Daemon threads by name: none outlives the rig. */
final class Threads {
    private Threads() {}

    static Thread start(String name, Runnable what) {
        Thread thread = new Thread(null, what, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
