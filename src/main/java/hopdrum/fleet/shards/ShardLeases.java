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
import java.util.Objects;
import java.util.TreeMap;

/**
 * Which shards this member may act on as their owner's, and from when until when, by its own monotonic clock. It stops by
 * its lease, a longer one where the agreement lets an operator go on alone; and it starts on a shard that came from another
 * operator once each front door of that one has said that it holds a later view, or surely has stopped by its lease and by
 * any drift allowed. docs/fleet.md derives why two operators never act on one shard at once. Not thread-safe.
 */
final class ShardLeases {
    private static final long PAST = Long.MIN_VALUE / 2;
    private static final int MOST_ADOPTED = 64;

    /** One start of another operator's front door. */
    private static final class Door {
        final Member member;
        long lastIn; // the last view seen that had it
        long droppedUs = Long.MAX_VALUE; // when a view without it was seen
        long heard; // the latest view that it has said it holds
        boolean over; // it left, or its store's next start has spoken

        Door(Member member) {
            this.member = member;
        }
    }

    private final Member self;
    private final FleetTiming timing;
    private final long mostAloneUs;
    private final Map<Long, Door> doors = new HashMap<>(); // by start and name's hash; emptied once surely stopped
    private final TreeMap<Long, Adopted> adopted = new TreeMap<>(); // by number; the last 64
    private final Map<Integer, Long> opened =
            new HashMap<>(); // shard: the number of the move that it is open for; bounded by shards
    private final Map<Integer, Long> openedUs =
            new HashMap<>(); // shard: when it opened here, or was said to be; the same
    private View view = View.NONE;
    private long firstNumber; // what came before it is not known here
    private long longestAloneUs;

    /** A view as it was adopted here. */
    private record Adopted(long atUs, ShardAssignment division) {}

    ShardLeases(Member self, FleetTiming timing, long mostAloneUs) {
        this.self = self;
        this.timing = timing;
        this.mostAloneUs = mostAloneUs;
    }

    /** How long after its last word to the fleet a front door may still act, and any clock's drift. */
    private long spanUs(long aloneUs) {
        long us = Math.max(timing.leaseUs(), aloneUs);
        return us + us * 2 * FleetTiming.MAX_CLOCK_DRIFT_PERCENT / 100;
    }

    long aloneUs() {
        PartnerAgreement terms =
                view.division() == null ? null : view.division().agreement();
        return terms == null ? 0 : Math.min(mostAloneUs, terms.aloneMs() * 1000);
    }

    void adopted(View now, long nowUs) {
        if (now.era() != view.era()) {
            adopted.clear();
            doors.clear();
            opened.clear();
            firstNumber = now.number() == 1 ? 0 : now.number();
        } else if (now.number() > view.number() + 1) {
            firstNumber = now.number(); // views between were never seen, nor who was in them
        }
        view = now;
        adopted.put(now.number(), new Adopted(nowUs, now.division()));
        if (adopted.size() > MOST_ADOPTED) {
            adopted.pollFirstEntry();
        }
        longestAloneUs = Math.max(longestAloneUs, aloneUs());
        for (Member m : now.members()) {
            if (!m.operator().equals(self.operator())) {
                Door d = doors.computeIfAbsent(key(m), k -> new Door(m));
                d.lastIn = now.number();
                d.droppedUs = Long.MAX_VALUE; // one start may be dropped and taken in again
            }
        }
        for (Door d : doors.values()) {
            if (d.lastIn < now.number()) {
                d.droppedUs = Math.min(d.droppedUs, nowUs);
            }
        }
        doors.values().removeIf(d -> d.droppedUs != Long.MAX_VALUE && nowUs - d.droppedUs > 2 * spanUs(mostAloneUs));
        if (now.division() != null) {
            opened.keySet().removeIf(shard -> now.division().moveOf(shard) == null);
            openedUs.keySet().retainAll(opened.keySet());
        }
    }

    private static long key(Member m) {
        return m.start() * 31 + m.name().hashCode();
    }

    /** A peer has said which view it holds. */
    void heard(Member from, long era, long number) {
        if (era != view.era()) {
            return;
        }
        Door d = doors.get(key(from));
        if (d != null) {
            d.heard = Math.max(d.heard, number);
        }
        for (Door other : doors.values()) { // one store serves one process: that before has ended
            other.over |= other.member.name().equals(from.name())
                    && other.member.voter() == from.voter()
                    && other.member.start() < from.start();
        }
    }

    /** It has said good-bye, and acts on nothing from then on. */
    void left(Member member) {
        Door d = doors.get(key(member));
        if (d != null) {
            d.over = true;
        }
    }

    void heard(Message.ShardsHandedOver said, long nowUs) {
        if (said.era() == view.era()) {
            said.numbers().forEach((shard, number) -> {
                if (opened.getOrDefault(shard, 0L) < number) {
                    opened.put(shard, number);
                    openedUs.put(shard, nowUs);
                }
            });
        }
    }

    /** By shard, with which view it moved, of those whose former owners have surely stopped. */
    Map<Integer, Long> opened() {
        return Map.copyOf(opened);
    }

    /** From when on the shard's former owners have surely stopped; in the past where they have. */
    private long opensUs(Move move) {
        if (opened.getOrDefault(move.shard(), 0L) >= move.number()) {
            return PAST;
        }
        Map.Entry<Long, Adopted> at = adopted.ceilingEntry(move.number());
        long atUs = (at == null ? adopted.lastEntry() : at).getValue().atUs;
        if (move.from().isEmpty()
                || firstNumber >= move.number()
                || (adopted.firstKey() >= move.number() && firstNumber > 0)) {
            return atUs + spanUs(mostAloneUs); // who had it, and until when, was never seen here
        }
        long opens = PAST;
        for (Door d : doors.values()) {
            if (!d.over && d.heard < move.number() && mayHold(d, move)) {
                opens = Math.max(opens, Math.min(d.droppedUs, atUs) + spanUs(longestAloneUs));
            }
        }
        return opens;
    }

    /**
     * Whether its operator had the shard by any view that it may still be on. Guards a shard that moves twice: the owner
     * before the last may be cut off and act on, while the last one, which never began, has stopped at once.
     */
    private boolean mayHold(Door d, Move move) {
        Long from = adopted.floorKey(d.heard);
        for (Adopted a : adopted.subMap(from == null ? adopted.firstKey() : from, move.number())
                .values()) {
            if (a.division == null || d.member.operator().equals(a.division.owner(move.shard()))) {
                return true;
            }
        }
        return from == null
                && d.heard < adopted.firstKey()
                && adopted.firstKey() > 1; // by views that are not known here any more
    }

    /** What this member may act on now, as one snapshot. Times in it are this clock's. */
    Rights rights(long heldSinceUs, long nowUs, long wallNowUs) {
        ShardAssignment d = view.division();
        if (d == null) {
            return null;
        }
        boolean isIn = view.has(self);
        long[] from = new long[d.shards()];
        long[] since = new long[d.shards()];
        List<String> owners = new ArrayList<>();
        int kept = mine(d);
        for (int i = 0; i < from.length; i++) {
            String owner = d.owner(i);
            owners.add(owner);
            from[i] = Long.MAX_VALUE;
            if (self.operator().equals(owner) && isIn) {
                Move move = d.moveOf(i);
                from[i] = move == null ? PAST : opensUs(move);
                if (from[i] <= nowUs && move != null) {
                    if (!Objects.equals(opened.put(i, move.number()), move.number())) {
                        openedUs.put(i, nowUs);
                    }
                    from[i] = PAST;
                }
                since[i] = openedUs.getOrDefault(i, PAST);
            }
        }
        long untilUs = heldSinceUs + Math.max(timing.leaseUs(), aloneUs());
        long all = Long.MAX_VALUE;
        PartnerAgreement terms = d.agreement();
        if (terms != null && !d.expired()) {
            all = nowUs + terms.untilMs() * 1000 - wallNowUs;
        }
        return new Rights(view.number(), owners, from, since, untilUs, all, kept);
    }

    /** The first shards, as many as its floor is: what it has left once the agreement has expired. */
    private int mine(ShardAssignment d) {
        PartnerAgreement terms = d.agreement();
        Party p = terms == null ? null : terms.party(self.operator());
        long all = terms == null
                ? 0
                : terms.parties().stream().mapToLong(Party::floor).sum();
        return p == null ? 0 : all == 0 ? d.shards() : ShardAssignmentRule.floorShards(d.shards(), p.floor(), all);
    }

    /**
     * @param number of the view that it is by
     * @param owners by shard; null for nobody
     * @param fromUs by shard, where it is this operator's: from when on
     * @param sinceUs by shard, where it is this operator's: since when, as far as is known
     * @param untilUs until when
     * @param allUntilUs until when it may be more than the floor
     * @param floor so many of its shards, the first ones, are in its floor
     */
    record Rights(
            long number,
            List<String> owners,
            long[] fromUs,
            long[] sinceUs,
            long untilUs,
            long allUntilUs,
            int floor) {}
}
