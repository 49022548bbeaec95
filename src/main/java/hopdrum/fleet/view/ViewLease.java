package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.util.ArrayList;
import java.util.List;

/**
 * This member's lease on its settled view: how long it may act on it, by its own clock alone. The coordinator grants it
 * (see {@link LeaseCoordinator}); it lasts for the configured time from the granted moment on.
 *
 * <p>Not thread-safe: called under the lock of {@link Membership}. Times are microseconds of one monotonic clock.
 */
public final class ViewLease {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** A former view under which other members may still hold leases until the given time. */
    private record FormerView(View view, long untilUs) {}

    private final Member self;
    private final FleetTiming timing;
    private final DecisionLog log;
    private final long startedUs;
    private final List<FormerView> formerViews = new ArrayList<>(); // removed as their leases lapse
    private View view = View.NONE;
    private long lastConfirmedUs = NEVER; // the last grant for the present view, or for the one right before it
    private long skippedUntilUs; // views were skipped: until then their unknown leases may be live
    private boolean cutOff;

    ViewLease(MemberContext context, long nowUs) {
        this.self = context.self();
        this.timing = context.timing();
        this.log = context.log();
        this.startedUs = nowUs;
    }

    /** @param follows whether the view's number is the next one after that of the view held before */
    void onViewSettled(View settled, long nowUs, boolean follows) {
        boolean wasMember = view.contains(self);
        if (follows && wasMember) {
            formerViews.add(new FormerView(view, nowUs + timing.leaseWithDriftUs()));
        } else {
            skippedUntilUs = nowUs + timing.leaseWithDriftUs(); // others may have been granted more than is known here
            formerViews.clear();
        }
        if (!follows || !wasMember || !settled.contains(self)) {
            lastConfirmedUs = NEVER;
        }
        view = settled;
        cutOff = false;
    }

    // ---- Queries ----

    /** When this member's lease ends, microseconds; long past where it has none. */
    public long expiresAtUs(long nowUs) {
        return mayHold(nowUs) ? lastConfirmedUs + timing.leaseUs() : NEVER;
    }

    /**
     * The last moment, microseconds, at which a majority is known to have held this member's view or the one before; long
     * past where this member may not act.
     */
    public long lastConfirmedUs(long nowUs) {
        return mayHold(nowUs) ? lastConfirmedUs : NEVER;
    }

    private boolean mayHold(long nowUs) {
        return view.contains(self) && nowUs >= skippedUntilUs;
    }

    boolean isHeld(long nowUs) {
        return nowUs < expiresAtUs(nowUs);
    }

    /**
     * The settled view, and those before it under which a lease may still be live somewhere: what a member claims must be
     * within its share of each.
     */
    public List<View> liveViews(long nowUs) {
        List<View> live = new ArrayList<>();
        live.add(view);
        for (FormerView former : formerViews) {
            if (nowUs < former.untilUs) {
                live.add(former.view);
            }
        }
        return live;
    }

    /** Whether this member is in its view, but no majority has been seen to hold that view for the length of a lease. */
    public boolean isCutOff() {
        return cutOff;
    }

    // ---- Time and grants ----

    void tick(long nowUs) {
        formerViews.removeIf(former -> nowUs >= former.untilUs);
        boolean lapsed = view.contains(self)
                && nowUs > Math.max(lastConfirmedUs, startedUs) + timing.leaseUs()
                && nowUs > skippedUntilUs;
        if (lapsed != cutOff) {
            cutOff = lapsed;
            log.event(lapsed ? "cut_off" : "held_again", "era", view.era(), "number", view.number());
        }
    }

    /** A coordinator's grant; a time that this clock has not shown since the start is not this start's. */
    void onGranted(Message.LeaseGranted granted, long nowUs) {
        if (view.hasId(granted.era(), granted.number())
                && granted.atUs() >= startedUs
                && granted.atUs() <= nowUs
                && view.contains(self)) {
            extend(granted.atUs());
        }
    }

    /** A majority is known to have held the view at the given time or later. */
    void extend(long sinceUs) {
        lastConfirmedUs = Math.max(lastConfirmedUs, sinceUs);
    }
}
