package hopdrum.rig.simulation;

import hopdrum.fleet.store.Store.DurableState;
import hopdrum.fleet.view.Membership;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.ToLongFunction;

/** The nodes' disks. A write takes some time, and is lost if its process ends before the write completes. */
final class SimulatedDisks {
    /**
     * A write that has not completed.
     *
     * @param dueUs when the write completes, microseconds
     * @param node the node whose disk is written to
     * @param process the process that wrote; the write is lost once another process, or none, runs at the node
     * @param state the state to write
     * @param onWritten the callback to run once the write has completed
     */
    private record PendingWrite(
            long dueUs, SimulatedNode node, Membership process, DurableState state, Runnable onWritten) {}

    private final SimulatedClock clock;
    private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
    private ToLongFunction<String> writeDurationUs = name -> 0;

    SimulatedDisks(SimulatedClock clock) {
        this.clock = clock;
    }

    /** Sets how long a write takes, in microseconds, by the node's name. */
    void setWriteDurationUs(ToLongFunction<String> durationByNode) {
        writeDurationUs = durationByNode;
    }

    /**
     * Begins to write the state of a node's process.
     *
     * @param node the node
     * @param state the state to write
     * @param onWritten the callback to run once the write has completed
     */
    void write(SimulatedNode node, DurableState state, Runnable onWritten) {
        long dueUs = clock.nowUs() + writeDurationUs.applyAsLong(node.name());
        pendingWrites.add(new PendingWrite(dueUs, node, node.membership(), state, onWritten));
    }

    /** Completes the writes that are due. The writes of a paused process complete when the process resumes. */
    void completeDue() {
        long nowUs = clock.nowUs();
        for (int i = pendingWrites.size(); i > 0; i--) {
            PendingWrite write = pendingWrites.poll();
            SimulatedNode node = write.node;
            if (node.membership() != write.process) {
                continue;
            }
            if (write.dueUs > nowUs || node.isPaused(nowUs)) {
                pendingWrites.add(write); // a node's writes stay in order, as each takes the same time
                continue;
            }
            node.setStoredState(write.state);
            write.process.viewConsensus().onStateDurable(write.onWritten, nowUs);
        }
    }
}
