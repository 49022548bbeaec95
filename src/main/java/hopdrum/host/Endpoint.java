package hopdrum.host;

/**
 * One backend as discovery lists it.
 *
 * @param backend its number, the same after a restart
 * @param zone the index of its zone in the settings
 * @param kind the index of its kind in the settings
 * @param cell its cell, one of those that share a memory of deduplicated requests
 * @param state whether it takes requests
 * @param weight its nominal size, if the settings say that weights are sizes
 * @param startedAtUs when it started, in {@link Host#nowUs()}; 0 means long ago
 */
public record Endpoint(long backend, int zone, int kind, int cell, State state, double weight, long startedAtUs) {
    /** Whether a backend takes requests. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** What a list event holds: changes, the complete list, the complete list as last cached, or no news. */
    public enum UpdateKind {
        INCREMENTAL,
        COMPLETE,
        CACHED,
        NONE
    }
}
