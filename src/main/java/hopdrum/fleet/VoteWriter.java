package hopdrum.fleet;

import hopdrum.fleet.log.FleetLog;
import hopdrum.fleet.store.Store;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Forces votes to disk in order on a separate thread, so that a slow disk does not block the member. A vote that
 * cannot be written is not cast: its continuation runs only after the write.
 */
final class VoteWriter {
    private record PendingVote(Store.DurableState state, Runnable continuation) {}

    private static final int STACK_BYTES = 256 << 10;

    private final BlockingQueue<PendingVote> votes = new LinkedBlockingQueue<>(); // a few for each view
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
        this.thread = new Thread(null, this::writeVotes, "fleet-store", STACK_BYTES);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Queues a vote; never waits. */
    void queue(Store.DurableState state, Runnable continuation) {
        votes.add(new PendingVote(state, continuation));
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
                PendingVote vote = votes.take();
                store.write(vote.state);
                written.accept(vote.continuation);
            } catch (IOException e) {
                log.rateLimitedEvent("store_failed", String.valueOf(e.getMessage()));
            } catch (InterruptedException e) {
                return; // stopAndJoin(): this thread ends
            }
        }
    }
}
