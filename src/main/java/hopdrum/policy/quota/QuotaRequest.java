package hopdrum.policy.quota;

/** The view of a request that its customer's quota has: the request needs units and receives a verdict. */
public interface QuotaRequest {
    /** Returns the units that the request needs. */
    double units();

    /** Returns the units charged for the request; they are returned if the request never runs. */
    double chargedUnits();

    /** Sets the units charged for the request. */
    void setChargedUnits(double units);

    /** Returns true while the request waits for its own call on the counter. */
    boolean isAwaitingCounter();

    /** Returns true once the request was admitted, also after its end. */
    boolean isAdmitted();

    /** Admits the request, which has its units. */
    void admit();

    /**
     * Rejects the request, which is beyond its customer's quota.
     *
     * @param retryAfterUs microseconds after which the client should retry
     */
    void reject(long retryAfterUs);

    /** Retries the admission of the request, since a call that it waited for was answered without a verdict on it. */
    void retryAdmission();
}
