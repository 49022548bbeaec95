package hopdrum.rig.simulation;

/** The virtual time of one simulation, which advances only on request. */
final class SimulatedClock {
    private static final long START_US = 1_000_000;
    private static final long WALL_START_MS = 1_800_000_000_000L;

    private long nowUs = START_US;

    /** Returns the time of the monotonic clock that all nodes share, microseconds. */
    long nowUs() {
        return nowUs;
    }

    /** Returns the time of a wall clock without error, milliseconds since the Unix epoch. */
    long wallMs() {
        return WALL_START_MS + nowUs / 1000;
    }

    /** Advances the time by a number of microseconds. */
    void advance(long stepUs) {
        nowUs += stepUs;
    }
}
