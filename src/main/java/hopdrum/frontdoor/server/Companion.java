package hopdrum.frontdoor.server;

import hopdrum.frontdoor.FrontDoor;
import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.EventLoop;
import java.io.IOException;

/** A service that runs in the front door's process, on its own threads, and follows the front door's lifecycle. */
public interface Companion {
    /** A companion that does nothing. */
    Companion NONE = new Companion() {
        @Override
        public void frontDoorStarted(FrontDoor frontDoor) {
            // nothing to do
        }

        @Override
        public void shutdownRequested() {
            // nothing to do
        }

        @Override
        public void close() {
            // nothing to do
        }
    };

    /** Starts a companion. */
    @FunctionalInterface
    interface Factory {
        /**
         * Starts the companion. Called before the front door listens, so that no client connects and then waits while
         * the companion's classes are loaded.
         *
         * @throws IOException if the companion cannot start, which ends the start of the front door
         */
        Companion start(Config config, EventLoop loop) throws IOException;
    }

    /** Called on the event loop's thread when the front door has been created, just before its loop runs. */
    void frontDoorStarted(FrontDoor frontDoor);

    /**
     * Called on SIGTERM, on another thread than the event loop's, and possibly before {@link #frontDoorStarted}.
     */
    void shutdownRequested();

    /**
     * Called when the event loop has ended or the start has failed.
     *
     * @throws IOException if a resource cannot be released
     */
    void close() throws IOException;
}
