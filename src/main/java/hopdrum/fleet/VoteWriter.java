package hopdrum.fleet;

import hopdrum.fleet.log.FleetLog;
import hopdrum.fleet.store.Store;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Writes votes to the store, in order and on a separate thread, so that a slow disk does not block the member. The
 * continuation of a vote, which casts the vote, is passed on only after the write: a vote that cannot be written is not
 * cast.
 */
final class VoteWriter {
    private record PendingVote(Store.DurableState state, Runnable continuation) {}

    private static final int STACK_BYTES = 256 << 10;

    private final BlockingQueue<PendingVote> pendingVotes = new LinkedBlockingQueue<>(); // holds a few for each view
    private final Store store;
    private final FleetLog log;
    private final BooleanSupplier closed;
    private final Consumer<Runnable> onWritten;
    private final Thread thread;

    /**
     * Creates a writer, whose thread {@link #start} starts.
     *
     * @param store the store to write to
     * @param log the log for failed writes
     * @param closed whether the member is closed, upon which the thread ends
     * @param onWritten called on the writer's thread with the continuation of each vote that was written
     */
    VoteWriter(Store store, FleetLog log, BooleanSupplier closed, Consumer<Runnable> onWritten) {
        this.store = store;
        this.log = log;
        this.closed = closed;
        this.onWritten = onWritten;
        this.thread = new Thread(null, this::writeVotes, "fleet-store", STACK_BYTES);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Queues a vote; does not block. */
    void enqueue(Store.DurableState state, Runnable continuation) {
        pendingVotes.add(new PendingVote(state, continuation));
    }

    /** Interrupts the thread and waits until it has ended, so that the store is not closed during a write. */
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
                PendingVote vote = pendingVotes.take();
                store.write(vote.state);
                onWritten.accept(vote.continuation);
            } catch (IOException e) {
                log.rateLimitedEvent("store_failed", String.valueOf(e.getMessage()));
            } catch (InterruptedException e) {
                return; // interrupted by stopAndJoin()
            }
        }
    }
}
