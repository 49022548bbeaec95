package hopdrum.host;

/**
 * One backend as discovery lists it.
 *
 * @param backendId the backend's number, which a restart does not change
 * @param zone the index of the backend's zone in the settings
 * @param kind the index of the backend's kind in the settings
 * @param cell the cell of the backend; the backends of a cell share a memory of deduplicated requests
 * @param state whether the backend takes requests
 * @param weight the nominal size of the backend, if the settings say that weights are sizes
 * @param startedAtUs when the backend started, on the clock of {@link Host#nowUs()}; 0 means long ago
 */
public record Endpoint(long backendId, int zone, int kind, int cell, State state, double weight, long startedAtUs) {
    /** Whether a backend takes requests. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /**
     * What an update of the endpoint list holds: changes, the complete list, the complete list as last cached, or no
     * changes.
     */
    public enum UpdateKind {
        INCREMENTAL,
        COMPLETE,
        CACHED,
        NONE
    }
}
