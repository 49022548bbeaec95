package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;

/**
 * Brings members that hold an earlier settled view to the latest one: a member that is behind requests the latest view,
 * and a member that is ahead sends it.
 */
final class ViewCatchUp {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final FleetTiming timing;
    private final ConsensusSender sender;
    private long lastRequestUs = NEVER;

    ViewCatchUp(FleetTiming timing, ConsensusSender sender) {
        this.timing = timing;
        this.sender = sender;
    }

    /**
     * Whether a proposer holds the same settled view as this member. If not, sends the proposer the later view or
     * requests it.
     */
    boolean isOnSameView(View own, Member proposer, long era, long number) {
        if (own.hasId(era, number)) {
            return true;
        }
        if (isLater(own, era, number)) {
            sender.send(proposer, new Message.ViewSettled(own));
        } else {
            sender.send(proposer, new Message.SettledViewRequest(own.era(), own.number()));
        }
        return false;
    }

    /** Handles a peer's statement of which settled view it holds: sends the peer a later view or requests it. */
    void onPeerView(View own, Member peer, long era, long number, long nowUs) {
        if (isLater(own, era, number)) {
            sender.send(peer, new Message.ViewSettled(own));
        } else if (!own.hasId(era, number) && nowUs - lastRequestUs > timing.ackTimeoutUs()) {
            lastRequestUs = nowUs;
            sender.send(peer, new Message.SettledViewRequest(own.era(), own.number()));
        }
    }

    /** Answers a peer that requests a later view than its own, if this member holds one. */
    void onRequest(View own, Member peer, Message.SettledViewRequest request) {
        if (isLater(own, request.era(), request.number())) {
            sender.send(peer, new Message.ViewSettled(own));
        }
    }

    private static boolean isLater(View view, long era, long number) {
        return view.era() > era || (view.era() == era && view.number() > number);
    }
}
