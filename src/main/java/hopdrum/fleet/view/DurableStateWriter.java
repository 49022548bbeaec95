package hopdrum.fleet.view;

import hopdrum.fleet.store.Store.DurableState;

/** Makes durable what must outlast a restart, in the order given. */
public interface DurableStateWriter {
    /**
     * Queues a write; does not block. Once the state is durable, the continuation is to be handed to
     * {@link ViewConsensus#onStateDurable}; if the write fails it is never run.
     *
     * @param state what to write; it replaces what was written before
     * @param continuation what waits for the write, for instance the vote that may be sent only then
     */
    void write(DurableState state, Runnable continuation);
}
