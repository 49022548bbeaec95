package hopdrum.fleet.view;

/** Records what a member decided. Implementations must not block: events are logged under the lock of {@link Membership}. */
public interface DecisionLog {
    /**
     * Records one decision.
     *
     * @param event the event's name
     * @param pairs keys and values by turns; each key is a string
     */
    void event(String event, Object... pairs);
}
