package hopdrum.fleet.view;

/**
 * Records the decisions of a member. Implementations must not block, because events are logged under the lock of
 * {@link Membership}.
 */
public interface DecisionLog {
    /**
     * Records one decision.
     *
     * @param event the event's name
     * @param pairs alternating keys and values; each key is a string
     */
    void event(String event, Object... pairs);
}
