package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The state of a member as another member believes it to be, spread by gossip.
 *
 * @param subject the member whose state is reported
 * @param incarnation the subject's incarnation number, from 0; only the subject raises it, to refute a suspicion
 * @param state the believed state
 * @param reporter the name of the member that observed the state; tells independent suspicions apart
 */
public record GossipUpdate(
        @JsonProperty("about") Member subject,
        long incarnation,
        State state,
        @JsonProperty("by") String reporter) {
    /** The states of a member. Within one incarnation, a later constant overrides an earlier one. */
    public enum State {
        /** The member answers pings. */
        ALIVE,
        /** The member did not answer a ping; it may refute the suspicion until that times out. */
        SUSPECT,
        /** The suspicion of the member has timed out. */
        DEAD,
        /** The member has shut down gracefully. */
        LEFT
    }

    /** Validates the components; throws IllegalArgumentException if one is invalid. */
    public GossipUpdate {
        Member.checkComponent(subject != null && state != null && Member.isName(reporter), "gossip update");
        Member.checkComponent(incarnation >= 0 && incarnation < Integer.MAX_VALUE, "incarnation");
    }
}
