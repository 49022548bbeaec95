package hopdrum.fleet.view;

import hopdrum.fleet.message.GossipUpdate;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;

/** This member as its peers see it: its incarnation, whether it leaves, and a later start that claims its name. */
final class LocalMember {
    private final Member self;
    private final MessageSender sender;
    private final DecisionLog log;
    private final GossipQueue gossip;
    private final LocalHealth health;
    private long incarnation;
    private boolean leaving;
    private Member rival; // null if none is known

    LocalMember(MemberContext context, GossipQueue gossip, LocalHealth health) {
        this.self = context.self();
        this.sender = context.sender();
        this.log = context.log();
        this.gossip = gossip;
        this.health = health;
    }

    /** Puts this member's own state into the gossip. */
    void announce() {
        gossip.enqueue(toUpdate());
    }

    /** Marks this member as having left in all gossip from now on. */
    void leave() {
        leaving = true;
        announce();
    }

    /** A peer's update is about this member's name: refutes what is wrong, and notifies a later start that the name is taken. */
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
        health.degrade(1); // peers could not reach this member: it may be slow itself
        log.event("refuted", "what", update.state().name(), "by", update.reporter(), "incarnation", incarnation);
        announce();
    }

    private void onLaterStart(Member laterStart) {
        if (rival == null || rival.start() < laterStart.start()) {
            rival = laterStart;
            log.event("rival", "its_start", rival.start(), "at_address", rival.address());
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
