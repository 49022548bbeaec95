package hopdrum.frontdoor.server;

import hopdrum.frontdoor.FrontDoor;
import hopdrum.frontdoor.lifecycle.EventLoop;

/**
 * Handles SIGTERM from the start of the process. A process that is terminated before it listens exits at once with
 * success; later it exits once its event loop has ended. To be created on the thread that runs the event loop.
 */
final class ShutdownHook {
    private final Thread serverThread = Thread.currentThread();
    private final Thread hook = new Thread(this::shutDown, "on-sigterm");
    private volatile int exitCode = 1; // until the event loop has ended normally
    private EventLoop loop;
    private FrontDoor frontDoor;
    private Companion companion = Companion.NONE;

    ShutdownHook() {
        Runtime.getRuntime().addShutdownHook(hook);
    }

    synchronized void setCompanion(Companion companion) {
        this.companion = companion;
    }

    synchronized void setFrontDoor(EventLoop loop, FrontDoor frontDoor) {
        this.loop = loop;
        this.frontDoor = frontDoor;
    }

    /** Called when the event loop has ended normally, so that the process exits with success. */
    void markSuccessful() {
        exitCode = 0;
    }

    /** Called when the start has failed, so that the process exits with an error even if SIGTERM arrives. */
    void remove() {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // SIGTERM has already arrived: the hook waits for this thread, and a normal exit would wait for the hook.
            Runtime.getRuntime().halt(1);
        }
    }

    private void shutDown() {
        synchronized (this) {
            companion.shutdownRequested();
            if (frontDoor == null) {
                Runtime.getRuntime().halt(0);
            }
            loop.execute(frontDoor::startGracefulShutdown);
        }
        try {
            serverThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(exitCode);
    }
}
