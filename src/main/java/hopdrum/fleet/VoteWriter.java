package hopdrum.fleet;

import hopdrum.fleet.store.Store;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Forces votes to disk on a thread of its own, one after another, so that a slow disk makes no slow member. What cannot
 * be written is not given: the continuation runs only after the write.
 */
final class VoteWriter {
    /** What is to be written, and what is done then. */
    private record Vote(Store.DurableState state, Runnable then) {}

    private final BlockingQueue<Vote> votes = new LinkedBlockingQueue<>(); // a few for each view
    private final Store store;
    private final FleetLog log;
    private final BooleanSupplier closed;
    private final Consumer<Runnable> written;
    private final Thread thread;

    /** @param written called on the writer's thread with the continuation of each vote that was written */
    VoteWriter(Store store, FleetLog log, BooleanSupplier closed, Consumer<Runnable> written) {
        this.store = store;
        this.log = log;
        this.closed = closed;
        this.written = written;
        this.thread = new Thread(null, this::writeVotes, "fleet-store", 256 << 10);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Queues a vote; never waits. */
    void queue(Store.DurableState state, Runnable then) {
        votes.add(new Vote(state, then));
    }

    /** Interrupts the writer and waits for it, so that the store is not closed under a write. */
    void stopAndJoin() {
        thread.interrupt();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeVotes() {
        while (!closed.getAsBoolean()) {
            try {
                Vote vote = votes.take();
                store.write(vote.state);
                written.accept(vote.then);
            } catch (IOException e) {
                log.limited("store_failed", String.valueOf(e.getMessage()));
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
