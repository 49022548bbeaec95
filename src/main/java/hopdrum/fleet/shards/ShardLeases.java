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
 * Which shards this member may act on as their owner's, and from when until when, by its own monotonic clock. It stops by
 * its lease, or a longer one where the agreement lets an operator act alone. It starts on a shard that came from another
 * operator once each front door of that operator has acknowledged a later view, or has certainly stopped by its lease and
 * any clock drift allowed. docs/shards.md derives why two operators never act on one shard at once. Not thread-safe.
 */
final class ShardLeases {
    private static final long PAST_US = Long.MIN_VALUE / 2;
    private static final long NEVER_US = Long.MAX_VALUE;
    private static final int MAX_VIEW_HISTORY = 64;

    /** One start of another operator's front door. */
    private static final class PartnerMember {
        final Member member;
        long lastViewNumber; // the last view seen that had it
        long droppedUs = NEVER_US; // when a view without it was seen
        long acknowledgedNumber; // the latest view that it has acknowledged
        boolean hasStopped; // it left, or a later start from its store is known

        PartnerMember(Member member) {
            this.member = member;
        }
    }

    /** A view as it was adopted here. */
    private record AdoptedView(long atUs, ShardAssignment assignment) {}

    private final Member self;
    private final FleetTiming timing;
    private final long maxAloneUs;
    private final Map<Long, PartnerMember> partners = new HashMap<>(); // by memberKey(); removed once certainly stopped
    private final NavigableMap<Long, AdoptedView> history = new TreeMap<>(); // by number; bounded by MAX_VIEW_HISTORY
    private final Map<Integer, Long> handedOver = new HashMap<>(); // by shard: number of the view that moved it here
    private final Map<Integer, Long> handedOverUs = new HashMap<>(); // by shard: time of completion or announcement
    private View view = View.NONE;
    private long firstNumber; // ownership before this view is unknown to this member
    private long longestAloneUs;

    ShardLeases(Member self, FleetTiming timing, long maxAloneUs) {
        this.self = self;
        this.timing = timing;
        this.maxAloneUs = maxAloneUs;
    }

    /** How long after its last contact with the fleet a front door may still act, with any clock's drift. */
    private long lapseUs(long aloneUs) {
        long us = Math.max(timing.leaseUs(), aloneUs);
        return us + us * 2 * FleetTiming.MAX_CLOCK_DRIFT_PERCENT / 100;
    }

    private long aloneUs() {
        PartnerAgreement agreement =
                view.shardAssignment() == null ? null : view.shardAssignment().agreement();
        return agreement == null ? 0 : Math.min(maxAloneUs, agreement.aloneMs() * 1000);
    }

    /** A view is settled here from now on. */
    void adopt(View settled, long nowUs) {
        if (settled.era() != view.era()) {
            history.clear();
            partners.clear();
            handedOver.clear();
            firstNumber = settled.number() == 1 ? 0 : settled.number();
        } else if (settled.number() > view.number() + 1) {
            firstNumber = settled.number(); // views in between, and their members, are unknown
        }
        view = settled;
        history.put(settled.number(), new AdoptedView(nowUs, settled.shardAssignment()));
        if (history.size() > MAX_VIEW_HISTORY) {
            history.pollFirstEntry();
        }
        longestAloneUs = Math.max(longestAloneUs, aloneUs());
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
                partner.droppedUs = NEVER_US; // one start may be dropped and taken in again
            }
        }
        for (PartnerMember partner : partners.values()) {
            if (partner.lastViewNumber < view.number()) {
                partner.droppedUs = Math.min(partner.droppedUs, nowUs);
            }
        }
        long forgetUs = 2 * lapseUs(maxAloneUs);
        partners.values().removeIf(partner -> partner.droppedUs != NEVER_US && nowUs - partner.droppedUs > forgetUs);
    }

    private static long memberKey(Member member) {
        return member.start() * 31 + member.name().hashCode();
    }

    /** A peer has said which view it holds. */
    void acknowledged(Member from, long era, long number) {
        if (era != view.era()) {
            return;
        }
        PartnerMember partner = partners.get(memberKey(from));
        if (partner != null) {
            partner.acknowledgedNumber = Math.max(partner.acknowledgedNumber, number);
        }
        for (PartnerMember other : partners.values()) { // one store serves one process: the one before has ended
            other.hasStopped |= other.member.name().equals(from.name())
                    && other.member.voter() == from.voter()
                    && other.member.start() < from.start();
        }
    }

    /** A member has left gracefully: it acts on nothing from then on. */
    void left(Member member) {
        PartnerMember partner = partners.get(memberKey(member));
        if (partner != null) {
            partner.hasStopped = true;
        }
    }

    /** A member of this one's operator knows of shards whose former owners have stopped. */
    void merge(Message.ShardsHandedOver received, long nowUs) {
        if (received.era() == view.era()) {
            received.viewNumbers().forEach((shard, number) -> {
                if (handedOver.getOrDefault(shard, 0L) < number) {
                    handedOver.put(shard, number);
                    handedOverUs.put(shard, nowUs);
                }
            });
        }
    }

    /** By shard, with which view it moved, of those whose former owners have certainly stopped. */
    Map<Integer, Long> handedOver() {
        return Map.copyOf(handedOver);
    }

    /** From when on the shard's former owners have certainly stopped; in the past where they have. */
    private long startUs(Move move) {
        if (handedOver.getOrDefault(move.shard(), 0L) >= move.viewNumber()) {
            return PAST_US;
        }
        Map.Entry<Long, AdoptedView> moved = history.ceilingEntry(move.viewNumber());
        long movedUs = (moved == null ? history.lastEntry() : moved).getValue().atUs;
        if (move.previousOwner().isEmpty()
                || firstNumber >= move.viewNumber()
                || (history.firstKey() >= move.viewNumber() && firstNumber > 0)) {
            return movedUs + lapseUs(maxAloneUs); // the former owner and its lease are unknown to this member
        }
        long startUs = PAST_US;
        for (PartnerMember partner : partners.values()) {
            if (!partner.hasStopped && partner.acknowledgedNumber < move.viewNumber() && mayHold(partner, move)) {
                startUs = Math.max(startUs, Math.min(partner.droppedUs, movedUs) + lapseUs(longestAloneUs));
            }
        }
        return startUs;
    }

    /**
     * Whether the partner's operator owned the shard by any view that the partner may still be on. Guards a shard that
     * moves twice: the owner before the last may be cut off and act on, while the last one, which never began, has
     * stopped at once.
     */
    private boolean mayHold(PartnerMember partner, Move move) {
        Long from = history.floorKey(partner.acknowledgedNumber);
        for (AdoptedView adopted : history.subMap(from == null ? history.firstKey() : from, move.viewNumber())
                .values()) {
            if (adopted.assignment == null
                    || partner.member.operator().equals(adopted.assignment.owner(move.shard()))) {
                return true;
            }
        }
        return from == null
                && partner.acknowledgedNumber < history.firstKey()
                && history.firstKey() > 1; // ownership by views that have been dropped from the history
    }

    /**
     * What this member may act on now, as one snapshot; shards whose hand-over is complete are noted as such. Null where
     * no shards are assigned.
     *
     * @param leaseSinceUs from when the lease on the view counts, by this member's clock
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
        long untilUs = leaseSinceUs + Math.max(timing.leaseUs(), aloneUs());
        PartnerAgreement agreement = assignment.agreement();
        long agreementUntilUs =
                agreement != null && !assignment.expired() ? nowUs + agreement.untilMs() * 1000 - wallNowUs : NEVER_US;
        return new Snapshot(shards, untilUs, agreementUntilUs, floorShards(assignment));
    }

    private ShardLease ownLease(int shard, Move move, long nowUs) {
        long fromUs = move == null ? PAST_US : startUs(move);
        if (fromUs <= nowUs && move != null) {
            if (!Objects.equals(handedOver.put(shard, move.viewNumber()), move.viewNumber())) {
                handedOverUs.put(shard, nowUs);
            }
            fromUs = PAST_US;
        }
        return new ShardLease(self.operator(), fromUs, handedOverUs.getOrDefault(shard, PAST_US));
    }

    /** How many of its shards, the first ones, this operator keeps once the agreement has expired. */
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
     * @param owner null for nobody
     * @param fromUs where it is this operator's: from when on this member may act on it; else Long.MAX_VALUE
     * @param sinceUs where it is this operator's: since when, as far as is known
     */
    record ShardLease(String owner, long fromUs, long sinceUs) {}

    /**
     * What this member may act on, times by its monotonic clock.
     *
     * @param shards by number
     * @param untilUs until when
     * @param agreementUntilUs until when it may act on more than the floor; Long.MAX_VALUE for ever
     * @param floorShards how many of its shards, the first ones, are in its floor
     */
    record Snapshot(List<ShardLease> shards, long untilUs, long agreementUntilUs, int floorShards) {}
}
