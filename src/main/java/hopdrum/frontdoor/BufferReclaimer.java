package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.MemoryBudget;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.StreamConnection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

/**
 * Shares out buffer memory while it is low, so that clients and backends that stop in the middle of a transfer do not
 * keep it from the others: gives up transfers that have made no progress for a while, and lets connections that wait
 * for memory go on in the order in which they began to wait.
 */
final class BufferReclaimer {
    private static final long CHECK_INTERVAL_US = 10_000;
    private static final long STALLED_AFTER_US = 200_000;
    // For a connection that itself waits for memory: all of it may be held by connections that wait for more.
    private static final long MAX_WAIT_US = 1_500_000;

    private final EventLoop loop;
    private final MemoryBudget memory;
    private final Supplier<List<StreamConnection>> connections;
    private boolean scheduled;

    /**
     * Creates a reclaimer and makes it the budget's listener.
     *
     * @param connections returns the connections whose transfers may wait or be given up
     */
    BufferReclaimer(EventLoop loop, MemoryBudget memory, Supplier<List<StreamConnection>> connections) {
        this.loop = loop;
        this.memory = memory;
        this.connections = connections;
        memory.setLowMemoryListener(this::scheduleCheck);
    }

    private void scheduleCheck() {
        if (!scheduled) {
            scheduled = true;
            loop.scheduleAfter(CHECK_INTERVAL_US, this::check);
        }
    }

    private void check() {
        scheduled = false;
        List<StreamConnection> longestWithoutProgressFirst = connections.get().stream()
                .sorted(Comparator.comparingLong(StreamConnection::lastProgressUs))
                .toList();
        longestWithoutProgressFirst.forEach(this::giveUpIfStalled);
        List<StreamConnection> waiting = longestWithoutProgressFirst.stream()
                .filter(StreamConnection::isAwaitingMemory)
                .toList();
        boolean allResumed = waiting.stream().allMatch(StreamConnection::resumeIfMemoryGranted); // stops at the first
        if (memory.isLow() || !allResumed) {
            scheduleCheck();
        }
    }

    private void giveUpIfStalled(StreamConnection connection) {
        if (memory.isLow() && isStalled(connection)) {
            connection.transferNow(); // this loop may have been late rather than the other side
            if (isStalled(connection)) {
                connection.abandonTransfer();
            }
        }
    }

    private boolean isStalled(StreamConnection connection) {
        long withoutProgressUs = loop.nowUs() - connection.lastProgressUs();
        long limitUs = connection.isAwaitingMemory() ? MAX_WAIT_US : STALLED_AFTER_US;
        return withoutProgressUs > limitUs && connection.reclaimableBytes() > 0;
    }
}
