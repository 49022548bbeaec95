package hopdrum.fleet.view;

/** Who is told what was decided, for the log: an event and pairs of key and value. */
public interface DecisionLog {
    void event(String event, Object... pairs);
}
