package hopdrum.fleet.view;

import hopdrum.fleet.store.Store.DurableState;

/** Writes the state that must survive a restart to durable storage, in the order of the calls. */
public interface DurableStateWriter {
    /**
     * Queues a write without blocking. Once the state is durable, the continuation must be passed to
     * {@link ViewConsensus#onStateDurable}; if the write fails, the continuation is never run.
     *
     * @param state the state to write, which replaces the state written before
     * @param continuation what to run after the write, for instance sending the vote that the state records
     */
    void write(DurableState state, Runnable continuation);
}
