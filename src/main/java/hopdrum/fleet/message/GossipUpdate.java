package hopdrum.fleet.message;

/**
 * What one member believes of another.
 *
 * @param incarnation raised by the member it is about alone, to refute
 * @param by who has seen it, for suspicions
 */
public record GossipUpdate(Member about, long incarnation, State state, String by) {
    /** In the order in which, of one incarnation, they outdo each other. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    public GossipUpdate {
        Member.check(about != null && state != null && Member.isName(by), "a rumour");
        Member.check(incarnation >= 0 && incarnation < Integer.MAX_VALUE, "an incarnation");
    }
}
