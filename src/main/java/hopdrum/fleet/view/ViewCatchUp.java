package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;

/** Brings members that hold different settled views to the latest: one that is behind requests it, or is sent it. */
final class ViewCatchUp {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final FleetTiming timing;
    private final ConsensusSender sender;
    private long lastRequestUs = NEVER;

    ViewCatchUp(FleetTiming timing, ConsensusSender sender) {
        this.timing = timing;
        this.sender = sender;
    }

    /** Whether a proposer builds on the same view as this member; where it does not, one of both is to catch up. */
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

    /** A peer has named the view that it holds. */
    void onPeerView(View own, Member peer, long era, long number, long nowUs) {
        if (isLater(own, era, number)) {
            sender.send(peer, new Message.ViewSettled(own));
        } else if (!own.hasId(era, number) && nowUs - lastRequestUs > timing.ackTimeoutUs()) {
            lastRequestUs = nowUs;
            sender.send(peer, new Message.SettledViewRequest(own.era(), own.number()));
        }
    }

    /** A peer requests a view later than its own. */
    void onRequest(View own, Member peer, Message.SettledViewRequest request) {
        if (isLater(own, request.era(), request.number())) {
            sender.send(peer, new Message.ViewSettled(own));
        }
    }

    private static boolean isLater(View view, long era, long number) {
        return view.era() > era || (view.era() == era && view.number() > number);
    }
}
