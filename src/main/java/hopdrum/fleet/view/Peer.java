package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import java.util.HashSet;
import java.util.Set;

/** The failure detector's state of one other member: its latest known start, incarnation and suspicion. */
final class Peer {
    /** Confirmations beyond the first accusation that shorten the timeout; more change nothing. */
    static final int MAX_CONFIRMATIONS = 3;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private Member member;
    private long incarnation;
    private State state;
    private long stateSinceUs;
    private long lastContactUs = NEVER;
    private long nextCheckUs;
    private final Set<String> accusers = new HashSet<>(2); // of the present suspicion; cleared with each state change

    Peer(GossipUpdate first, long nowUs) {
        member = first.subject();
        apply(first, nowUs);
    }

    /** Takes over an update's incarnation and state; the caller has checked that it supersedes the present ones. */
    void apply(GossipUpdate update, long nowUs) {
        incarnation = update.incarnation();
        state = update.state();
        stateSinceUs = nowUs;
        nextCheckUs = nowUs;
        accusers.clear();
        if (state == State.SUSPECT) {
            accusers.add(update.reporter());
        }
    }

    /** Replaces the start after a restart; no message of the new start has been received yet. */
    void replaceStart(Member laterStart) {
        member = laterStart;
        lastContactUs = NEVER;
    }

    /** Counts another accuser of the present suspicion; false if it is known, or if enough have confirmed. */
    boolean addAccuser(String name) {
        return accusers.size() <= MAX_CONFIRMATIONS && accusers.add(name);
    }

    /** How many others have confirmed the present suspicion, beside the first accuser. */
    int confirmations() {
        return accusers.size() - 1;
    }

    /** The present state as gossip; of a suspicion, by one of its accusers, else by the observer itself. */
    GossipUpdate toUpdate(String observer) {
        return toUpdateBy(accusers.isEmpty() ? observer : accusers.iterator().next());
    }

    GossipUpdate toUpdateBy(String reporter) {
        return new GossipUpdate(member, incarnation, state, reporter);
    }

    Member member() {
        return member;
    }

    String address() {
        return member.address();
    }

    long incarnation() {
        return incarnation;
    }

    State state() {
        return state;
    }

    boolean hasState(State other) {
        return state == other;
    }

    /** Alive or suspected: not yet dropped. */
    boolean isPresent() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    long stateSinceUs() {
        return stateSinceUs;
    }

    /** Restarts the suspicion's timeout. */
    void restartSuspicion(long nowUs) {
        stateSinceUs = nowUs;
    }

    /** When this start last sent a message to this member itself. */
    long lastContactUs() {
        return lastContactUs;
    }

    void recordContact(long nowUs) {
        lastContactUs = nowUs;
    }

    /** When a suspect may be checked by this member again. */
    long nextCheckUs() {
        return nextCheckUs;
    }

    void scheduleCheck(long atUs) {
        nextCheckUs = atUs;
    }
}
