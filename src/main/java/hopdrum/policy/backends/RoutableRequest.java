package hopdrum.policy.backends;

import hopdrum.host.Plan;

/** What the choice of a backend asks of a request. */
public interface RoutableRequest {
    /** What is learned of its method. */
    MethodStats methodStats();

    /** The plan of its customer. */
    Plan plan();

    /** False where an attempt that may have run forbids another on this backend. */
    boolean mayRunOn(Backend backend);

    /** True if an attempt of it, ended or not, went to this backend. */
    boolean hasTried(Backend backend);

    /** True if an attempt of it is in flight at this backend. */
    boolean isInFlightAt(Backend backend);

    /** True if a network round trip of so many microseconds would make its answer miss the soft deadline. */
    boolean wouldMissSoftDeadline(long roundTripUs);
}
