package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.util.ArrayList;
import java.util.List;

/**
 * This member's lease on its settled view: how long this member may act on the view, by its own clock alone. The
 * coordinator grants a lease as of a moment on this clock (see {@link LeaseCoordinator}); the lease lasts for the
 * configured time from that moment on.
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
    private final List<FormerView> formerViews = new ArrayList<>(); // removed once all leases on them have expired
    private View view = View.NONE;
    private long lastConfirmedUs = NEVER; // latest grant for the present view or its predecessor
    private long unknownLeasesUntilUs; // leases on views that this member did not hold may be live until then
    private boolean cutOff;

    ViewLease(MemberContext context, long nowUs) {
        this.self = context.self();
        this.timing = context.timing();
        this.log = context.log();
        this.startedUs = nowUs;
    }

    /**
     * Switches to a settled view.
     *
     * @param consecutive whether the view's number directly follows that of the view held before
     */
    void onViewSettled(View settled, long nowUs, boolean consecutive) {
        boolean wasMember = view.contains(self);
        if (consecutive && wasMember) {
            formerViews.add(new FormerView(view, nowUs + timing.leaseWithDriftUs()));
        } else {
            // Other members may hold leases on views that this member does not know.
            unknownLeasesUntilUs = nowUs + timing.leaseWithDriftUs();
            formerViews.clear();
        }
        if (!consecutive || !wasMember || !settled.contains(self)) {
            lastConfirmedUs = NEVER;
        }
        view = settled;
        cutOff = false;
    }

    // ---- Queries ----

    /** Returns when this member's lease expires, microseconds; a time far in the past if this member has no lease. */
    public long expiresAtUs(long nowUs) {
        return mayHoldLease(nowUs) ? lastConfirmedUs + timing.leaseUs() : NEVER;
    }

    /**
     * Returns the latest moment, microseconds, at which a majority is known to have held this member's view or its
     * predecessor; a time far in the past if this member may not act on its view.
     */
    public long lastConfirmedUs(long nowUs) {
        return mayHoldLease(nowUs) ? lastConfirmedUs : NEVER;
    }

    private boolean mayHoldLease(long nowUs) {
        return view.contains(self) && nowUs >= unknownLeasesUntilUs;
    }

    boolean isHeld(long nowUs) {
        return nowUs < expiresAtUs(nowUs);
    }

    /**
     * Returns the settled view, followed by the former views on which another member may still hold a lease. A member
     * may claim no more than its share under each of these views.
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

    /**
     * Whether this member is in its view, but no majority is known to have held that view within the length of a lease.
     */
    public boolean isCutOff() {
        return cutOff;
    }

    // ---- Ticks and grants ----

    void tick(long nowUs) {
        formerViews.removeIf(former -> nowUs >= former.untilUs);
        boolean lapsed = view.contains(self)
                && nowUs > Math.max(lastConfirmedUs, startedUs) + timing.leaseUs()
                && nowUs > unknownLeasesUntilUs;
        if (lapsed != cutOff) {
            cutOff = lapsed;
            log.event(lapsed ? "cut_off" : "held_again", "era", view.era(), "number", view.number());
        }
    }

    /**
     * Applies a coordinator's grant for the settled view. A grant as of a time that this member's clock has not shown
     * since the start is ignored, because it belongs to another start.
     */
    void onGranted(Message.LeaseGranted granted, long nowUs) {
        if (view.hasId(granted.era(), granted.number())
                && granted.atUs() >= startedUs
                && granted.atUs() <= nowUs
                && view.contains(self)) {
            extend(granted.atUs());
        }
    }

    /** Extends the lease: a majority is known to have held the view at the given time, microseconds, or later. */
    void extend(long confirmedUs) {
        lastConfirmedUs = Math.max(lastConfirmedUs, confirmedUs);
    }
}
