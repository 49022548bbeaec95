package hopdrum.fleet.shards;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.ShardAssignment.Move;
import hopdrum.fleet.message.View;
import hopdrum.fleet.view.FleetTiming;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The leases of one member on its operator's shards: on which shards the member may act, and from when until when, by
 * its own monotonic clock. The member stops when its lease on the view ends, or later if the agreement lets an operator
 * act alone. It starts to act on a shard that came from another operator once each front door of that operator has
 * acknowledged a later view, or has certainly stopped by its lease and any allowed clock drift. docs/shards.md derives
 * why two operators never act on one shard at the same time. Not thread-safe.
 */
final class ShardLeases {
    private static final long PAST_US = Long.MIN_VALUE / 2;
    private static final long NEVER_US = Long.MAX_VALUE;
    private static final int MAX_ADOPTED_VIEWS = 64;

    /** One start of another operator's front door. */
    private static final class PartnerMember {
        final Member member;
        long lastViewNumber; // the last view known to this member that contains the start
        long droppedUs = NEVER_US; // when a view without the start was adopted; NEVER_US if none was
        long acknowledgedNumber; // the latest view that the start has acknowledged
        boolean hasStopped; // it has left, or a later start with the same store is known

        PartnerMember(Member member) {
            this.member = member;
        }
    }

    /**
     * The shard assignment of a view that this member has adopted.
     *
     * @param atUs when the view was adopted, microseconds
     * @param assignment null if the view has none
     */
    private record AdoptedView(long atUs, ShardAssignment assignment) {}

    private final Member self;
    private final FleetTiming timing;
    private final long maxAloneUs;
    private final Map<Long, PartnerMember> partners = new HashMap<>(); // by memberKey(); removed once stopped
    private final NavigableMap<Long, AdoptedView> adoptedViews = new TreeMap<>(); // by view number
    private final Map<Integer, Long> handedOver = new HashMap<>(); // by shard: number of the view that moved it
    private final Map<Integer, Long> handedOverUs = new HashMap<>(); // by shard: when completed or announced
    private View view = View.NONE;
    private long firstKnownNumber; // this member does not know who owned the shards before this view
    private long longestAloneUs; // the longest time alone of all adopted views

    ShardLeases(Member self, FleetTiming timing, long maxAloneUs) {
        this.self = self;
        this.timing = timing;
        this.maxAloneUs = maxAloneUs;
    }

    /** Returns how long after its last contact with the fleet a front door may still act, including any clock drift. */
    private long maxActingUs(long aloneUs) {
        long actingUs = Math.max(timing.leaseUs(), aloneUs);
        return actingUs + actingUs * 2 * FleetTiming.MAX_CLOCK_DRIFT_PERCENT / 100;
    }

    /** Returns how long an operator may act alone by the settled view's agreement; 0 if there is none. */
    private long agreedAloneUs() {
        PartnerAgreement agreement =
                view.shardAssignment() == null ? null : view.shardAssignment().agreement();
        return agreement == null ? 0 : Math.min(maxAloneUs, agreement.aloneMs() * 1000);
    }

    /** Adopts a settled view. */
    void adoptView(View settled, long nowUs) {
        if (settled.era() != view.era()) {
            adoptedViews.clear();
            partners.clear();
            handedOver.clear();
            firstKnownNumber = settled.number() == 1 ? 0 : settled.number();
        } else if (settled.number() > view.number() + 1) {
            firstKnownNumber = settled.number(); // the views in between and their members are unknown
        }
        view = settled;
        adoptedViews.put(settled.number(), new AdoptedView(nowUs, settled.shardAssignment()));
        if (adoptedViews.size() > MAX_ADOPTED_VIEWS) {
            adoptedViews.pollFirstEntry();
        }
        longestAloneUs = Math.max(longestAloneUs, agreedAloneUs());
        updatePartners(nowUs);
        if (settled.shardAssignment() != null) {
            handedOver.keySet().removeIf(shard -> settled.shardAssignment().lastMoveOf(shard) == null);
            handedOverUs.keySet().retainAll(handedOver.keySet());
        }
    }

    private void updatePartners(long nowUs) {
        for (Member member : view.members()) {
            if (!member.operator().equals(self.operator())) {
                PartnerMember partner = partners.computeIfAbsent(memberKey(member), key -> new PartnerMember(member));
                partner.lastViewNumber = view.number();
                partner.droppedUs = NEVER_US; // a start may leave the view and be readmitted
            }
        }
        for (PartnerMember partner : partners.values()) {
            if (partner.lastViewNumber < view.number()) {
                partner.droppedUs = Math.min(partner.droppedUs, nowUs);
            }
        }
        long retentionUs = 2 * maxActingUs(maxAloneUs);
        partners.values().removeIf(partner -> partner.droppedUs != NEVER_US && nowUs - partner.droppedUs > retentionUs);
    }

    private static long memberKey(Member member) {
        return member.start() * 31 + member.name().hashCode();
    }

    /** Records which view a peer holds. */
    void onViewAcknowledged(Member from, long era, long number) {
        if (era != view.era()) {
            return;
        }
        PartnerMember partner = partners.get(memberKey(from));
        if (partner != null) {
            partner.acknowledgedNumber = Math.max(partner.acknowledgedNumber, number);
        }
        for (PartnerMember other : partners.values()) { // one process per store: the earlier start has ended
            other.hasStopped |= other.member.name().equals(from.name())
                    && other.member.voter() == from.voter()
                    && other.member.start() < from.start();
        }
    }

    /** Records that a member has left gracefully; from then on it acts on no shard. */
    void onMemberLeft(Member member) {
        PartnerMember partner = partners.get(memberKey(member));
        if (partner != null) {
            partner.hasStopped = true;
        }
    }

    /** Merges the hand-overs that another member of this operator has announced: former owners have stopped acting. */
    void mergeHandOvers(Message.ShardsHandedOver received, long nowUs) {
        if (received.era() == view.era()) {
            received.viewNumbers().forEach((shard, number) -> {
                if (handedOver.getOrDefault(shard, 0L) < number) {
                    handedOver.put(shard, number);
                    handedOverUs.put(shard, nowUs);
                }
            });
        }
    }

    /** Returns the number of the view that moved each shard, by shard, if the former owners have certainly stopped. */
    Map<Integer, Long> handedOver() {
        return Map.copyOf(handedOver);
    }

    /** Returns when the former owners of a moved shard have certainly stopped; in the past if they already have. */
    private long earliestStartUs(Move move) {
        if (handedOver.getOrDefault(move.shard(), 0L) >= move.viewNumber()) {
            return PAST_US;
        }
        Map.Entry<Long, AdoptedView> moved = adoptedViews.ceilingEntry(move.viewNumber());
        long movedUs = (moved == null ? adoptedViews.lastEntry() : moved).getValue().atUs;
        if (move.previousOwner().isEmpty()
                || firstKnownNumber >= move.viewNumber()
                || (adoptedViews.firstKey() >= move.viewNumber() && firstKnownNumber > 0)) {
            return movedUs + maxActingUs(maxAloneUs); // this member knows neither the former owner nor its lease
        }
        long startUs = PAST_US;
        for (PartnerMember partner : partners.values()) {
            if (!partner.hasStopped && partner.acknowledgedNumber < move.viewNumber() && mayActOn(partner, move)) {
                startUs = Math.max(startUs, Math.min(partner.droppedUs, movedUs) + maxActingUs(longestAloneUs));
            }
        }
        return startUs;
    }

    /**
     * Returns whether the partner's operator owned the shard in any view that the partner may still hold. This protects
     * a shard that moves twice: its first owner may be cut off and continue to act, while the second one, which never
     * started, has stopped at once.
     */
    private boolean mayActOn(PartnerMember partner, Move move) {
        Long from = adoptedViews.floorKey(partner.acknowledgedNumber);
        for (AdoptedView adopted : adoptedViews
                .subMap(from == null ? adoptedViews.firstKey() : from, move.viewNumber())
                .values()) {
            if (adopted.assignment == null
                    || partner.member.operator().equals(adopted.assignment.owner(move.shard()))) {
                return true;
            }
        }
        return from == null
                && partner.acknowledgedNumber < adoptedViews.firstKey()
                && adoptedViews.firstKey() > 1; // the views that have been dropped from adoptedViews are unknown
    }

    /**
     * Returns what this member may act on now, and records the shards whose hand-over is complete. Returns null if no
     * shards are assigned.
     *
     * @param leaseSinceUs the start of the lease on the view by this member's clock, microseconds
     * @param nowUs the time by the same clock, microseconds
     * @param wallNowUs the time of the wall clock, microseconds
     */
    Snapshot snapshot(long leaseSinceUs, long nowUs, long wallNowUs) {
        ShardAssignment assignment = view.shardAssignment();
        if (assignment == null) {
            return null;
        }
        boolean isInView = view.contains(self);
        List<ShardLease> shards = new ArrayList<>();
        for (int shard = 0; shard < assignment.shardCount(); shard++) {
            String owner = assignment.owner(shard);
            shards.add(
                    isInView && self.operator().equals(owner)
                            ? ownLease(shard, assignment.lastMoveOf(shard), nowUs)
                            : new ShardLease(owner, NEVER_US, 0));
        }
        long untilUs = leaseSinceUs + Math.max(timing.leaseUs(), agreedAloneUs());
        PartnerAgreement agreement = assignment.agreement();
        long agreementUntilUs =
                agreement != null && !assignment.expired() ? nowUs + agreement.untilMs() * 1000 - wallNowUs : NEVER_US;
        return new Snapshot(shards, untilUs, agreementUntilUs, floorShards(assignment));
    }

    private ShardLease ownLease(int shard, Move move, long nowUs) {
        long fromUs = move == null ? PAST_US : earliestStartUs(move);
        if (fromUs <= nowUs && move != null) {
            if (!Objects.equals(handedOver.put(shard, move.viewNumber()), move.viewNumber())) {
                handedOverUs.put(shard, nowUs);
            }
            fromUs = PAST_US;
        }
        return new ShardLease(self.operator(), fromUs, handedOverUs.getOrDefault(shard, PAST_US));
    }

    /** Returns how many of its shards this operator keeps once the agreement has expired; it keeps the first ones. */
    private int floorShards(ShardAssignment assignment) {
        PartnerAgreement agreement = assignment.agreement();
        Party own = agreement == null ? null : agreement.party(self.operator());
        if (own == null) {
            return 0;
        }
        long totalFloor = agreement.parties().stream().mapToLong(Party::floor).sum();
        return totalFloor == 0
                ? assignment.shardCount()
                : ShardTargets.floorShards(assignment.shardCount(), own.floor(), totalFloor);
    }

    /**
     * One shard as this member knows it.
     *
     * @param owner the operator that owns the shard; null if nobody does
     * @param fromUs from when on this member may act on the shard, microseconds; Long.MAX_VALUE if it must not
     * @param sinceUs since when this operator has owned the shard, as far as is known, microseconds; 0 if it does not
     */
    record ShardLease(String owner, long fromUs, long sinceUs) {}

    /**
     * The shards that this member may act on. Times are microseconds of its monotonic clock.
     *
     * @param shards the shards, by number
     * @param untilUs until when this member may act on its shards
     * @param agreementUntilUs until when it may act on more shards than its floor; Long.MAX_VALUE for no limit
     * @param floorShards how many of its shards, the first ones, form its floor
     */
    record Snapshot(List<ShardLease> shards, long untilUs, long agreementUntilUs, int floorShards) {}
}
