package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;

/** This member as its peers see it: its incarnation, whether it is leaving, and a later start that claims its name. */
final class LocalMember {
    private final Member self;
    private final MessageSender sender;
    private final DecisionLog log;
    private final GossipQueue gossip;
    private final LocalHealth health;
    private long incarnation;
    private boolean leaving;
    private Member nameClaimant; // latest other start that claims this member's name; null if none is known

    LocalMember(MemberContext context, GossipQueue gossip, LocalHealth health) {
        this.self = context.self();
        this.sender = context.sender();
        this.log = context.log();
        this.gossip = gossip;
        this.health = health;
    }

    /** Queues this member's own state for dissemination. */
    void announce() {
        gossip.enqueue(toUpdate());
    }

    /** Marks this member as having left in all gossip from now on. */
    void leave() {
        leaving = true;
        announce();
    }

    /**
     * Handles an update about this member's name: refutes one that does not say that this member is alive, and notifies
     * a later start that the name is taken.
     */
    void onUpdate(GossipUpdate update) {
        if (leaving) {
            return;
        }
        if (update.subject().isSameStart(self)) {
            refute(update);
        } else if (update.subject().start() > self.start() && update.state() == State.ALIVE) {
            onLaterStart(update.subject());
        }
    }

    private void refute(GossipUpdate update) {
        if (update.state() == State.ALIVE || update.incarnation() < incarnation) {
            return;
        }
        incarnation = update.incarnation() + 1;
        health.degrade(1); // peers could not reach this member, so it may be slow
        log.event("refuted", "what", update.state().name(), "by", update.reporter(), "incarnation", incarnation);
        announce();
    }

    private void onLaterStart(Member laterStart) {
        if (nameClaimant == null || nameClaimant.start() < laterStart.start()) {
            nameClaimant = laterStart;
            log.event("rival", "its_start", nameClaimant.start(), "at_address", nameClaimant.address());
        }
        sender.send(laterStart.address(), new Message.NameTaken(self));
    }

    GossipUpdate toUpdate() {
        return new GossipUpdate(self, incarnation, state(), self.name());
    }

    String name() {
        return self.name();
    }

    State state() {
        return leaving ? State.LEFT : State.ALIVE;
    }

    boolean isLeaving() {
        return leaving;
    }
}
