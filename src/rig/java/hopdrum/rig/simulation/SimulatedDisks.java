package hopdrum.rig.simulation;

import hopdrum.fleet.store.Store.DurableState;
import hopdrum.fleet.view.Membership;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.ToLongFunction;

/** The nodes' disks: a write takes its time, and what was not yet written when its process is killed is lost. */
final class SimulatedDisks {
    /**
     * A write on its way to a disk.
     *
     * @param process the process that wrote; another one of the same node does not complete it
     */
    private record PendingWrite(
            long dueUs, SimulatedNode node, Membership process, DurableState state, Runnable whenWritten) {}

    private final SimulatedClock clock;
    private final Deque<PendingWrite> pending = new ArrayDeque<>();
    private ToLongFunction<String> writeUs = name -> 0;

    SimulatedDisks(SimulatedClock clock) {
        this.clock = clock;
    }

    void setWriteUs(ToLongFunction<String> byName) {
        writeUs = byName;
    }

    void write(SimulatedNode node, DurableState state, Runnable whenWritten) {
        long dueUs = clock.nowUs() + writeUs.applyAsLong(node.name());
        pending.add(new PendingWrite(dueUs, node, node.membership(), state, whenWritten));
    }

    /** Completes the writes that are due; a paused process learns of its own when it wakes. */
    void completeDue() {
        long nowUs = clock.nowUs();
        for (int i = pending.size(); i > 0; i--) {
            PendingWrite write = pending.poll();
            SimulatedNode node = write.node;
            if (node.membership() != write.process) {
                continue;
            }
            if (write.dueUs > nowUs || node.isPaused(nowUs)) {
                pending.add(write); // all writes of one node take as long, so they stay in order
                continue;
            }
            node.store(write.state);
            write.process.viewConsensus().onStateDurable(write.whenWritten, nowUs);
        }
    }
}
