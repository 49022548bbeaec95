package hopdrum.host;

/** One backend as discovery lists it; started at 0 means long ago. */
public record Endpoint(long backend, int zone, int kind, int cell, State state, double weight, long startedAtUs) {
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** What a list event holds: changes, the whole list, the whole list as last held, or no news. */
    public enum UpdateKind {
        INCREMENTAL,
        COMPLETE,
        CACHED,
        NONE
    }
}
