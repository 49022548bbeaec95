package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.View;
import java.util.List;

/**
 * Decides which updates about peers are applied, by SWIM's precedence of incarnations and states and by the rule that a
 * name belongs to one process at a time. Applied updates are logged and disseminated.
 */
final class PeerUpdates {
    private static final int NAME_HELD_PROBE_ROUNDS = 2; // probe rounds within which a live holder sends a message

    /** Notified before the state of a known peer changes. */
    interface StateChangeListener {
        void onStateChange(Peer peer, State next);
    }

    private final Member self;
    private final FleetTiming timing;
    private final DecisionLog log;
    private final PeerTable peers;
    private final LocalMember localMember;
    private final GossipQueue gossip;
    private final SuspicionTimeout suspicionTimeout;
    private final StateChangeListener listener;

    PeerUpdates(
            MemberContext context,
            PeerTable peers,
            LocalMember localMember,
            GossipQueue gossip,
            StateChangeListener listener) {
        this.self = context.self();
        this.timing = context.timing();
        this.log = context.log();
        this.peers = peers;
        this.localMember = localMember;
        this.gossip = gossip;
        this.suspicionTimeout = new SuspicionTimeout(timing);
        this.listener = listener;
    }

    /**
     * Records a message that the given start has sent itself.
     *
     * @return the peer of the sender's name; null if that name is this member's own. The peer may have another start,
     *     if that one holds the name
     */
    Peer onMessageFrom(Member from, long nowUs) {
        apply(new GossipUpdate(from, 0, State.ALIVE, from.name()), nowUs);
        Peer peer = peers.get(from.name());
        if (peer != null && peer.member().isSameStart(from)) {
            peer.recordContact(nowUs);
        }
        return peer;
    }

    /** Adds the members of a settled view that no gossip has named yet. */
    void addMembers(View settled, long nowUs) {
        for (Member member : settled.members()) {
            if (!peers.contains(member.name())) {
                apply(new GossipUpdate(member, 0, State.ALIVE, self.name()), nowUs);
            }
        }
    }

    void applyAll(List<GossipUpdate> updates, long nowUs) {
        for (GossipUpdate update : updates) {
            apply(update, nowUs);
        }
    }

    private void apply(GossipUpdate update, long nowUs) {
        Member subject = update.subject();
        if (subject.name().equals(self.name())) {
            localMember.onUpdate(update);
            return;
        }
        Peer peer = peers.get(subject.name());
        if (peer == null) {
            addUnknown(update, nowUs);
        } else if (subject.start() != peer.member().start()) {
            applyToOtherStart(peer, update, nowUs);
        } else if (peer.hasState(State.LEFT) || !subject.isSameStart(peer.member())) {
            return; // leaving is final for a start, and one start cannot have two voter numbers
        } else if (supersedes(update, peer)) {
            changeState(peer, update, nowUs);
        } else if (confirmsSuspicion(update, peer) && peer.addSuspicionReporter(update.reporter())) {
            gossip.enqueue(update);
        }
    }

    private void addUnknown(GossipUpdate update, long nowUs) {
        // Dead and departed members are not added, so that those that were removed stay removed.
        if (update.state() == State.ALIVE || update.state() == State.SUSPECT) {
            Peer peer = new Peer(update, nowUs);
            peers.add(peer);
            announce(peer, update.reporter());
        }
    }

    private void applyToOtherStart(Peer peer, GossipUpdate update, long nowUs) {
        boolean isLaterStart = update.subject().start() > peer.member().start();
        if (isLaterStart && !isNameStillHeld(peer, update, nowUs)) {
            peer.replaceStart(update.subject());
            changeState(peer, update, nowUs);
        }
    }

    /**
     * Whether the holder keeps its name against a later start. While the holder is alive, a later start at another
     * address is not a restart but a second process of the same name.
     */
    private boolean isNameStillHeld(Peer holder, GossipUpdate laterUpdate, long nowUs) {
        boolean isAtOtherAddress = !laterUpdate.subject().address().equals(holder.address());
        long roundUs = timing.probePeriodUs() * Math.max(1, peers.presentCount());
        boolean hasContact =
                holder.hasState(State.ALIVE) && nowUs - holder.lastContactUs() < NAME_HELD_PROBE_ROUNDS * roundUs;
        return isAtOtherAddress && hasContact && laterUpdate.state() != State.LEFT;
    }

    private static boolean supersedes(GossipUpdate update, Peer peer) {
        return update.incarnation() > peer.incarnation()
                || (update.incarnation() == peer.incarnation()
                        && precedence(update.state()) > precedence(peer.state()));
    }

    /** Of two updates about the same incarnation, the one whose state has the higher precedence applies. */
    private static int precedence(State state) {
        return switch (state) {
            case ALIVE -> 0;
            case SUSPECT -> 1;
            case DEAD -> 2;
            case LEFT -> 3;
        };
    }

    private static boolean confirmsSuspicion(GossipUpdate update, Peer peer) {
        return update.incarnation() == peer.incarnation()
                && update.state() == State.SUSPECT
                && peer.hasState(State.SUSPECT);
    }

    /** Suspects a peer that this member's own probe has not reached, or confirms an existing suspicion. */
    void suspect(Peer peer, long nowUs) {
        GossipUpdate suspicion = new GossipUpdate(peer.member(), peer.incarnation(), State.SUSPECT, self.name());
        if (peer.hasState(State.ALIVE)) {
            changeState(peer, suspicion, nowUs);
        } else if (peer.addSuspicionReporter(self.name())) {
            gossip.enqueue(suspicion);
        }
    }

    /**
     * Declares suspects dead whose suspicion has timed out, and removes peers that were dead or departed for too long.
     */
    void tick(long nowUs) {
        for (Peer peer : peers.snapshot()) {
            if (peer.hasState(State.SUSPECT) && nowUs >= suspicionTimeout.deadlineUs(peer, peers.presentCount())) {
                GossipUpdate deathUpdate = new GossipUpdate(peer.member(), peer.incarnation(), State.DEAD, self.name());
                changeState(peer, deathUpdate, nowUs);
            } else if (!peer.isPresent() && nowUs - peer.stateSinceUs() > timing.retentionUs()) {
                peers.remove(peer);
                gossip.remove(peer.member().name());
            }
        }
    }

    /** Restarts all suspicion timeouts after a pause of this member, during which a suspect may have refuted. */
    void restartSuspicions(long nowUs) {
        for (Peer peer : peers.all()) {
            if (peer.hasState(State.SUSPECT)) {
                peer.restartSuspicion(nowUs);
            }
        }
    }

    private void changeState(Peer peer, GossipUpdate update, long nowUs) {
        listener.onStateChange(peer, update.state());
        boolean wasSuspect = peer.hasState(State.SUSPECT);
        peer.apply(update, nowUs);
        boolean ownUpdate = update.reporter().equals(self.name());
        if (!(wasSuspect && update.state() == State.ALIVE && ownUpdate)) {
            announce(peer, update.reporter());
        }
    }

    private void announce(Peer peer, String reporter) {
        log.event(
                "member",
                "who",
                peer.member().name(),
                "its_start",
                peer.member().start(),
                "state",
                peer.state().name(),
                "by",
                reporter,
                "incarnation",
                peer.incarnation());
        gossip.enqueue(peer.toUpdateBy(reporter));
    }
}
