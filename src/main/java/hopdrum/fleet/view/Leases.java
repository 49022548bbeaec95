package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How long a member may act on its settled view. The chair asks all in rounds; an answer carries the answerer's own
 * clock. Once a majority has answered a round, each is told the time of its last answer that the chair had before that
 * round began: whoever votes for a later view does so after answering the round, so after that time. A lease is that
 * time and the settings' length, by the holder's own clock alone: clocks that are seconds apart do no harm.
 * Not thread-safe. Times are microseconds of one monotonic clock.
 */
public final class Leases {
    private static final int ROUNDS_A_LEASE = 5;
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** What may be claimed by a view until its successor has surely taken its place everywhere. */
    public record Claim(View view, long untilUs) {}

    private final Member self;
    private final FleetTiming timing;
    private final MessageSender out;
    private final DecisionLog log;
    private final long startedUs;
    private final List<Claim> former = new ArrayList<>(); // emptied as they lapse
    private final Map<String, Long> answered = new HashMap<>(); // the chair's: by member, its clock; emptied by a view
    private final Set<String> inRound = new HashSet<>(); // emptied by the next round
    private Map<String, Long> before = Map.of(); // as answered stood when the round began
    private long round;
    private boolean roundHeld;
    private long nextRoundUs;
    private View view = View.NONE;
    private long heldSinceUs = NEVER; // of the present view or the one right before, by this clock
    private long gapUntilUs; // views were skipped: what they gave is not known
    private boolean cutOff;

    Leases(Member self, FleetTiming timing, MessageSender out, DecisionLog log, long nowUs) {
        this.self = self;
        this.timing = timing;
        this.out = out;
        this.log = log;
        this.startedUs = nowUs;
    }

    /** A view has been settled; follows tells that it is the next one after that known here. */
    void settled(View now, long nowUs, boolean follows) {
        boolean wasIn = view.has(self);
        if (follows && wasIn) {
            former.add(new Claim(view, nowUs + timing.leaseLapseUs()));
        } else {
            gapUntilUs =
                    nowUs + timing.leaseLapseUs(); // in the views not seen others may have had more than is known here
            former.clear();
        }
        if (!follows || !wasIn || !now.has(self)) {
            heldSinceUs = NEVER;
        }
        view = now;
        answered.clear();
        before = Map.of();
        inRound.clear();
        roundHeld = false;
        nextRoundUs = nowUs;
        cutOff = false;
    }

    // ---- What is asked ----

    /** The end of what this member may claim; in the past where it may claim nothing. */
    public long untilUs(long nowUs) {
        return !view.has(self) || nowUs < gapUntilUs ? NEVER : heldSinceUs + timing.leaseUs();
    }

    /** The last moment at which a majority was surely on this member's view, or the one before; long past where it may not act. */
    public long sinceUs(long nowUs) {
        return !view.has(self) || nowUs < gapUntilUs ? NEVER : heldSinceUs;
    }

    boolean holds(long nowUs) {
        return nowUs < untilUs(nowUs);
    }

    /** The view and those before it of which a claim may still live somewhere: a claim must be within each. */
    public List<View> live(long nowUs) {
        List<View> live = new ArrayList<>();
        live.add(view);
        for (Claim c : former) {
            if (nowUs < c.untilUs) {
                live.add(c.view);
            }
        }
        return live;
    }

    /** In the view, and no majority has been seen to hold it for the length of a lease. */
    public boolean isCutOff() {
        return cutOff;
    }

    // ---- In the course of time ----

    void tick(View now, boolean chair, List<Member> all, long nowUs) {
        former.removeIf(c -> nowUs >= c.untilUs);
        boolean lapsed =
                now.has(self) && nowUs > Math.max(heldSinceUs, startedUs) + timing.leaseUs() && nowUs > gapUntilUs;
        if (lapsed != cutOff) {
            cutOff = lapsed;
            log.event(lapsed ? "cut_off" : "held_again", "era", now.era(), "number", now.number());
        }
        if (!chair || now.era() == 0 || nowUs < nextRoundUs) {
            return;
        }
        nextRoundUs = nowUs + timing.leaseUs() / ROUNDS_A_LEASE;
        round++;
        inRound.clear();
        roundHeld = false;
        if (now.has(self)) {
            answered.put(self.name(), nowUs);
            inRound.add(self.name());
        }
        before = new HashMap<>(answered);
        for (Member m : all) {
            if (!m.is(self)) {
                out.send(m.address(), new Message.Renew(now.era(), now.number(), round));
            }
        }
        heldNow(now, all, nowUs);
    }

    void heard(Member from, Message.Renewed renewed, View now, long nowUs) {
        if (!now.isNamed(renewed.era(), renewed.number()) || renewed.round() != round) {
            return;
        }
        answered.put(from.name(), renewed.atUs());
        inRound.add(from.name());
        if (roundHeld) {
            tell(from, now); // late, but the round is held
        } else {
            heldNow(now, now.members(), nowUs);
        }
    }

    private void heldNow(View now, List<Member> all, long nowUs) {
        if (inRound.size() < now.majority()) {
            return;
        }
        roundHeld = true;
        for (Member m : all) {
            if (inRound.contains(m.name())) {
                tell(m, now);
            }
        }
        if (before.size() < now.majority()) {
            nextRoundUs =
                    Math.min(nextRoundUs, nowUs + timing.periodUs() / 4); // the first of a view tell nobody a time
        }
    }

    private void tell(Member m, View now) {
        Long since = before.get(m.name());
        if (since == null) {
            return;
        }
        if (m.name().equals(self.name())) {
            held(since);
        } else {
            out.send(m.address(), new Message.LeaseGranted(now.era(), now.number(), since));
        }
    }

    /** Told by a chair; a time that this clock has not shown since the start is nobody's. */
    public void heard(Message.LeaseGranted said, View now, long nowUs) {
        if (now.isNamed(said.era(), said.number())
                && said.atUs() >= startedUs
                && said.atUs() <= nowUs
                && now.has(self)) {
            held(said.atUs());
        }
    }

    private void held(long sinceUs) {
        heldSinceUs = Math.max(heldSinceUs, sinceUs);
    }
}
