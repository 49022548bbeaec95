package hopdrum.rig.simulation;

/** The virtual time of one simulation. */
final class SimulatedClock {
    private static final long START_US = 1_000_000;
    private static final long WALL_START_MS = 1_800_000_000_000L;

    private long nowUs = START_US;

    /** Microseconds of the monotonic clock that all nodes share. */
    long nowUs() {
        return nowUs;
    }

    /** Milliseconds of a wall clock without error. */
    long wallMs() {
        return WALL_START_MS + nowUs / 1000;
    }

    void advance(long us) {
        nowUs += us;
    }
}
