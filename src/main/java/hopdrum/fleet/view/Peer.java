package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import java.util.HashSet;
import java.util.Set;

/** The failure detector's state of one other member: its latest known start, incarnation and suspicion. */
final class Peer {
    /**
     * Number of confirmations, beyond the first report of a suspicion, that shorten its timeout; further ones do not.
     */
    static final int MAX_CONFIRMATIONS = 3;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private Member member;
    private long incarnation;
    private State state;
    private long stateSinceUs;
    private long lastContactUs = NEVER;
    private long nextSuspectProbeUs;
    private final Set<String> suspicionReporters = new HashSet<>(2); // names; cleared on each state change

    Peer(GossipUpdate first, long nowUs) {
        member = first.subject();
        apply(first, nowUs);
    }

    /** Sets incarnation and state to those of an update; the caller has checked that it supersedes the present ones. */
    void apply(GossipUpdate update, long nowUs) {
        incarnation = update.incarnation();
        state = update.state();
        stateSinceUs = nowUs;
        nextSuspectProbeUs = nowUs;
        suspicionReporters.clear();
        if (state == State.SUSPECT) {
            suspicionReporters.add(update.reporter());
        }
    }

    /** Replaces the start with a later one, from which no message has been received yet. */
    void replaceStart(Member laterStart) {
        member = laterStart;
        lastContactUs = NEVER;
    }

    /**
     * Adds a reporter of the present suspicion.
     *
     * @return false if the reporter was counted before, or if enough members have confirmed already
     */
    boolean addSuspicionReporter(String name) {
        return suspicionReporters.size() <= MAX_CONFIRMATIONS && suspicionReporters.add(name);
    }

    /** Returns how many members have confirmed the present suspicion, besides its first reporter. */
    int confirmations() {
        return suspicionReporters.size() - 1;
    }

    /**
     * Returns the present state as an update.
     *
     * @param observer the name of this member, which the update names as its reporter unless the peer is suspected; a
     *     suspicion names one of the members that reported the suspicion
     */
    GossipUpdate toUpdate(String observer) {
        return toUpdateBy(
                suspicionReporters.isEmpty()
                        ? observer
                        : suspicionReporters.iterator().next());
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

    /** Whether this peer is alive or suspected, but neither dead nor departed. */
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

    /** Returns when this peer's present start last sent a message to this member, microseconds. */
    long lastContactUs() {
        return lastContactUs;
    }

    void recordContact(long nowUs) {
        lastContactUs = nowUs;
    }

    /** Returns when this member may next decide whether to probe this peer as a suspect, microseconds. */
    long nextSuspectProbeUs() {
        return nextSuspectProbeUs;
    }

    void scheduleSuspectProbe(long atUs) {
        nextSuspectProbeUs = atUs;
    }
}
