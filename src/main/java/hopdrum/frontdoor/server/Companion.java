package hopdrum.frontdoor.server;

import hopdrum.frontdoor.FrontDoor;
import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.EventLoop;
import java.io.IOException;

/** A service that runs beside the front door, on threads of its own, and follows its lifecycle. */
public interface Companion {
    /** No companion. */
    Companion NONE = new Companion() {
        @Override
        public void frontDoorStarted(FrontDoor door) {
            // nothing runs
        }

        @Override
        public void shutdownRequested() {
            // nothing runs
        }

        @Override
        public void close() {
            // nothing runs
        }
    };

    /** Starts a companion. */
    @FunctionalInterface
    interface Factory {
        /**
         * Called before the front door listens: guards against clients that connect and wait while classes are loaded.
         *
         * @throws IOException if it cannot start, which ends the start of the front door
         */
        Companion start(Config config, EventLoop loop) throws IOException;
    }

    /** The front door has been made, on the event loop's thread; its loop runs from now on. */
    void frontDoorStarted(FrontDoor door);

    /** SIGTERM has come; called on another thread, and before {@link #frontDoorStarted} if the signal comes early. */
    void shutdownRequested();

    /**
     * The event loop has ended, or the start has failed.
     *
     * @throws IOException if a resource cannot be given back
     */
    void close() throws IOException;
}
