package hopdrum.policy.backends;

import hopdrum.host.Plan;

/** The view of a request that the choice of a backend has. */
public interface RoutableRequest {
    /** Returns the statistics of the method of the request. */
    MethodStats methodStats();

    /** Returns the plan of the customer. */
    Plan plan();

    /** Returns false if an earlier attempt that may have run forbids another attempt on this backend. */
    boolean mayRunOn(Backend backend);

    /** Returns true if an attempt of the request, ended or not, went to this backend. */
    boolean hasTried(Backend backend);

    /** Returns true if an attempt of the request is in flight at this backend. */
    boolean isInFlightAt(Backend backend);

    /**
     * Returns true if the given additional network round trip in microseconds would make the answer miss the soft
     * deadline.
     */
    boolean wouldMissSoftDeadline(long extraRoundTripUs);
}
