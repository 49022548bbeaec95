package hopdrum.fleet.message;

/**
 * What one member believes of another, as it travels by gossip.
 *
 * @param about the member that it is about
 * @param incarnation raised by the member that it is about alone, to refute a suspicion
 * @param state the believed state
 * @param by the name of the member that observed it, for suspicions
 */
public record GossipUpdate(Member about, long incarnation, State state, String by) {
    /** States of a member; of one incarnation a later constant overrides an earlier one. */
    public enum State {
        /** It answers. */
        ALIVE,
        /** It did not answer; it may refute until the suspicion times out. */
        SUSPECT,
        /** Its suspicion timed out. */
        DEAD,
        /** It has shut down gracefully. */
        LEFT
    }

    /** Checks the components; throws IllegalArgumentException where one cannot be. */
    public GossipUpdate {
        Member.check(about != null && state != null && Member.isName(by), "a rumour");
        Member.check(incarnation >= 0 && incarnation < Integer.MAX_VALUE, "an incarnation");
    }
}
