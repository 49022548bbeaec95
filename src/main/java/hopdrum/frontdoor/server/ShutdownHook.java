package hopdrum.frontdoor.server;

import hopdrum.frontdoor.FrontDoor;
import hopdrum.frontdoor.lifecycle.EventLoop;

/**
 * SIGTERM, handled from the start on: a process that is told to stop before it listens ends at once, as a success; later
 * it ends once its loop has. Made on the thread that runs the loop.
 */
final class ShutdownHook {
    private final Thread serverThread = Thread.currentThread();
    private final Thread hook = new Thread(this::shutDown, "on-sigterm");
    private volatile int exitCode = 1; // until the loop has ended as it should
    private EventLoop loop;
    private FrontDoor door;
    private Companion companion = Companion.NONE;

    ShutdownHook() {
        Runtime.getRuntime().addShutdownHook(hook);
    }

    synchronized void companionStarted(Companion started) {
        companion = started;
    }

    synchronized void serving(EventLoop ofLoop, FrontDoor ofDoor) {
        loop = ofLoop;
        door = ofDoor;
    }

    /** The loop has ended as it should: the process ends as a success. */
    void completed() {
        exitCode = 0;
    }

    /** The start has failed: being told to stop makes no success of it. */
    void remove() {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // Told to stop meanwhile: the hook waits for this thread, and an exit from here would wait for the hook.
            Runtime.getRuntime().halt(1);
        }
    }

    private void shutDown() {
        synchronized (this) {
            companion.shutdownRequested();
            if (door == null) {
                Runtime.getRuntime().halt(0);
            }
            loop.execute(door::startGracefulShutdown);
        }
        try {
            serverThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(exitCode);
    }
}
