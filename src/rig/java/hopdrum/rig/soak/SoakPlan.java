package hopdrum.rig.soak;

import java.util.SplittableRandom;

/**
 * What happens in one soak; all of it follows from the seed.
 *
 * @param seed the seed
 * @param loadMs how long clients send before SIGTERM, in milliseconds
 * @param deadlineMs the longest deadline of a request, which tells the earliest SIGKILL, in milliseconds
 * @param failedCallsPerMille of 1000 system calls of each kind, how many fail
 * @param clockStepS by how many seconds the wall clock steps in the middle
 * @param reloads how many times SIGHUP is sent, the last times after SIGTERM
 * @param usualClients the number of clients that behave well
 * @param stalledClients the number of clients that stop in the middle of a request, or send slowly
 * @param turnedAwayPerMille of 1000 attempts, how many backends turn away without running them
 * @param flood what one client sends at full speed
 */
record SoakPlan(
        long seed,
        int loadMs,
        int deadlineMs,
        int failedCallsPerMille,
        int clockStepS,
        int reloads,
        int usualClients,
        int stalledClients,
        int turnedAwayPerMille,
        Flood flood) {
    /** What one client sends at full speed on one connection. */
    enum Flood {
        NONE,
        READINESS_CHECKS,
        MALFORMED_REQUESTS,
        NEW_CUSTOMERS_WITHOUT_TIME,
        NEW_CUSTOMERS_WITH_LONG_TIME,
        HEADS_OF_MANY_FIELDS
    }

    private static final int[] CLOCK_STEPS_S = {0, 0, 3600, -3600, 7, -7};
    private static final int[] FAILED_CALLS_PER_MILLE = {0, 20, 50, 100};
    private static final int[] DEADLINES_MS = {3000, 3000, 2000, 1000};
    private static final int CROWD = 300;

    /** Derives the plan of a seed. */
    static SoakPlan of(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return new SoakPlan(
                seed,
                5000 + random.nextInt(2000),
                DEADLINES_MS[random.nextInt(DEADLINES_MS.length)],
                FAILED_CALLS_PER_MILLE[random.nextInt(FAILED_CALLS_PER_MILLE.length)],
                CLOCK_STEPS_S[random.nextInt(CLOCK_STEPS_S.length)],
                random.nextInt(4),
                20 + random.nextInt(20),
                random.nextInt(3) == 0 ? CROWD : random.nextInt(20),
                30 + random.nextInt(300),
                Flood.values()[random.nextInt(Flood.values().length)]);
    }
}
