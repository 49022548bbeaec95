package hopdrum.policy.quota;

/** A request as its customer's quota sees it: asks for units, and is told the verdict. */
public interface QuotaRequest {
    /** The units that it asks for. */
    double units();

    /** The units that were charged for it; they go back if it never runs. */
    double chargedUnits();

    /** Sets the units charged for it. */
    void setChargedUnits(double units);

    /** True while its own call on the counter is out. */
    boolean isAwaitingCounter();

    /** True once it was admitted, also after its end. */
    boolean isAdmitted();

    /** The verdict: it has its units and goes on. */
    void admit();

    /** The verdict: it is beyond quota, and its client may come back after so many microseconds. */
    void reject(long retryAfterUs);

    /** No verdict yet: its admission is to be tried again, now that a call it waited for is answered. */
    void retryAdmission();
}
