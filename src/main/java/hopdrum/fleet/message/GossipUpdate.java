package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What one member believes of another, as it travels by gossip.
 *
 * @param subject the member whose state is reported
 * @param incarnation raised by the subject alone, to refute a suspicion
 * @param state the believed state
 * @param reporter the name of the member that observed it, for suspicions
 */
public record GossipUpdate(
        @JsonProperty("about") Member subject,
        long incarnation,
        State state,
        @JsonProperty("by") String reporter) {
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
        Member.check(subject != null && state != null && Member.isName(reporter), "a gossip update");
        Member.check(incarnation >= 0 && incarnation < Integer.MAX_VALUE, "an incarnation");
    }
}
