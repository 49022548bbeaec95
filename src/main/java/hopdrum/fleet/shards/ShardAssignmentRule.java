package hopdrum.fleet.shards;

import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.ShardAssignment.Move;
import hopdrum.fleet.message.View;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Who owns which shard after a view: a function of that view, of who is there, of an agreement and of the proposer's
 * wall clock, and of nothing else; so all members come to the same, and a voter can tell a proposal that does not follow
 * from it. Shares are met within one shard, as few move as can, and so many an epoch at most.
 */
public final class ShardAssignmentRule {
    private static final long CLOCKS_APART_MS = 10_000;
    private static final long KEEP_MOVES_MS = 600_000; // far longer than anybody may act alone
    private static final long PLAIN_EPOCH_MS = 60_000; // without an agreement
    private static final int PLAIN_PART = 8; // of the shards, in an epoch, without an agreement

    private final int shards;
    private final long mostAloneMs;

    /** @param mostAloneMs the longest that an agreement may let an operator go on alone */
    public ShardAssignmentRule(int shards, long mostAloneMs) {
        this.shards = shards;
        this.mostAloneMs = mostAloneMs;
    }

    public int shards() {
        return shards;
    }

    public long mostAloneMs() {
        return mostAloneMs;
    }

    /** Whether the terms can come in force after what the view has, with the word of these alone. */
    public boolean mayFollow(View before, PartnerAgreement terms, List<String> agreedBy, long nowMs) {
        PartnerAgreement last =
                before.division() == null ? null : before.division().agreement();
        return terms.revision() == (last == null ? 1 : last.revision() + 1)
                && nowMs >= terms.fromMs()
                && (isNotice(last, terms, agreedBy, nowMs)
                        || (terms.faults(nowMs, mostAloneMs).isEmpty() && agreedBy.containsAll(terms.operators())));
    }

    /** One party alone may end an agreement sooner, as the terms that all have agreed to say: nothing else may change. */
    private static boolean isNotice(PartnerAgreement last, PartnerAgreement terms, List<String> by, long nowMs) {
        return last != null
                && by.stream().anyMatch(o -> last.party(o) != null)
                && terms.untilMs() < last.untilMs()
                && terms.untilMs() >= nowMs + last.noticeMs() - CLOCKS_APART_MS
                && terms.equals(new PartnerAgreement(
                        last.name(),
                        last.revision() + 1,
                        last.parties(),
                        last.fromMs(),
                        terms.untilMs(),
                        last.aloneMs(),
                        last.standIn(),
                        last.moves(),
                        last.epochMs(),
                        last.noticeMs()));
    }

    /** Null if a proposed division follows by this rule, else what does not. */
    public String objection(View before, View proposed, long nowMs) {
        ShardAssignment next = proposed.division();
        ShardAssignment last = before.division();
        if (next == null) {
            return "it divides nothing";
        }
        if (next.asOfMs() > nowMs + CLOCKS_APART_MS
                || (last != null && next.asOfMs() < last.asOfMs() - CLOCKS_APART_MS)) {
            return "its time cannot be";
        }
        boolean other = !Objects.equals(next.agreement(), last == null ? null : last.agreement());
        if (other
                && (next.agreement() == null || !mayFollow(before, next.agreement(), next.agreedBy(), next.asOfMs()))) {
            return "its agreement is not one that all parties have agreed to";
        }
        ShardAssignment right =
                next(before, proposed.operators(), other ? next.agreement() : null, next.agreedBy(), next.asOfMs());
        return right.equals(next) ? null : "its shards are not divided by the rule";
    }

    /**
     * What follows the division of the view before.
     *
     * @param present the operators that have a member in the next view
     * @param ready terms that may follow; null if none do
     * @param agreedBy who has agreed to them
     */
    public ShardAssignment next(
            View before, Set<String> present, PartnerAgreement ready, List<String> agreedBy, long nowMs) {
        ShardAssignment last = before.division();
        PartnerAgreement terms = ready != null ? ready : last == null ? null : last.agreement();
        boolean expired = terms != null && (nowMs >= terms.untilMs() || (ready == null && last.expired()));
        TreeSet<String> operators = new TreeSet<>(present);
        Map<String, Integer> has = new HashMap<>();
        for (int i = 0; last != null && i < shards; i++) {
            String owner = last.owner(i);
            if (owner != null) {
                operators.add(owner);
                has.merge(owner, 1, Integer::sum);
            }
        }
        Map<String, Long> gone = new TreeMap<>();
        for (String o : operators) {
            if (!present.contains(o)) {
                gone.put(o, last.goneMs().getOrDefault(o, nowMs));
            }
        }
        Map<String, Integer> target = targets(operators, gone, has, terms, expired, nowMs);
        List<String> names = List.copyOf(operators);
        char[] owners = new char[shards];
        Map<String, Integer> over = new HashMap<>();
        operators.forEach(o -> over.put(o, has.getOrDefault(o, 0) - target.get(o)));
        List<Integer> give = new ArrayList<>();
        for (int i = shards - 1; i >= 0; i--) { // the last first: one that is left with its floor knows which are in it
            String owner = last == null ? null : last.owner(i);
            owners[i] = owner == null ? ShardAssignment.NOBODY : (char) ('A' + names.indexOf(owner));
            if (owner == null || over.get(owner) > 0) {
                over.computeIfPresent(owner == null ? "" : owner, (k, v) -> v - 1);
                give.add(i);
            }
        }
        long epoch = nowMs / (terms == null ? PLAIN_EPOCH_MS : terms.epochMs());
        int moved = last != null && last.epoch() == epoch ? last.moved() : 0;
        int budget = last == null ? shards : (terms == null ? Math.max(1, shards / PLAIN_PART) : terms.moves()) - moved;
        Map<Integer, Move> moves = new TreeMap<>();
        if (last != null) {
            last.moves().stream().filter(m -> nowMs - m.atMs() < KEEP_MOVES_MS).forEach(m -> moves.put(m.shard(), m));
        }
        for (int shard : give) {
            String to = budget > 0 ? neediest(names, over, has, target, terms) : null;
            if (to == null) {
                break;
            }
            budget--;
            moved++;
            over.merge(to, 1, Integer::sum);
            has.merge(to, 1, Integer::sum);
            owners[shard] = (char) ('A' + names.indexOf(to));
            String from = last == null ? null : last.owner(shard);
            moves.put(shard, new Move(shard, from == null ? "" : from, before.number() + 1, nowMs));
        }
        return new ShardAssignment(
                nowMs,
                names,
                new String(owners),
                List.copyOf(moves.values()),
                terms,
                ready != null ? agreedBy : last == null ? List.of() : last.agreedBy(),
                expired,
                gone,
                epoch,
                moved);
    }

    /** Who is gone keeps what it has, unless others stand in, or it was owed less from some time on. */
    private Map<String, Integer> targets(
            Set<String> operators,
            Map<String, Long> gone,
            Map<String, Integer> has,
            PartnerAgreement terms,
            boolean expired,
            long nowMs) {
        Map<String, Integer> weights = new TreeMap<>();
        for (String o : operators) {
            Party p = terms == null ? null : terms.party(o);
            weights.put(o, terms == null ? 1 : p == null ? 0 : expired ? p.floor() : p.owed());
        }
        if (weights.values().stream().allMatch(w -> w == 0)) {
            weights.replaceAll((o, w) -> 1); // somebody has to
        }
        Map<String, Integer> target = new HashMap<>();
        int free = shards;
        long all = weights.values().stream().mapToLong(w -> w).sum();
        for (Map.Entry<String, Long> g : gone.entrySet()) {
            boolean stoodInFor = terms != null && terms.standIn() && nowMs - g.getValue() >= terms.aloneMs();
            int keeps = stoodInFor ? 0 : has.getOrDefault(g.getKey(), 0);
            if (expired) {
                keeps = Math.min(keeps, floorShards(shards, weights.get(g.getKey()), all));
            }
            target.put(g.getKey(), keeps);
            free -= keeps;
            weights.remove(g.getKey());
        }
        if (weights.values().stream().allMatch(w -> w == 0)) {
            weights.replaceAll((o, w) -> 1);
        }
        long sum = weights.values().stream().mapToLong(w -> w).sum();
        int given = 0;
        List<String> byRest = new ArrayList<>(weights.keySet());
        for (String o : byRest) {
            int whole = (int) (free * (long) weights.get(o) / sum);
            target.put(o, whole);
            given += whole;
        }
        int left = free;
        byRest.sort(Comparator.comparingLong((String o) -> -(left * (long) weights.get(o) % sum))
                .thenComparing(o -> o));
        for (int i = 0; i < free - given && !byRest.isEmpty(); i++) {
            target.merge(byRest.get(i), 1, Integer::sum);
        }
        operators.forEach(o -> target.putIfAbsent(o, 0));
        return target;
    }

    /** How many shards a part of the whole surely is. */
    static int floorShards(int shards, int weight, long all) {
        return all == 0 ? 0 : (int) (shards * (long) weight / all);
    }

    /** A lender below what its own capacity guarantees it comes before all others; then who lacks the largest part. */
    private String neediest(
            List<String> names,
            Map<String, Integer> over,
            Map<String, Integer> has,
            Map<String, Integer> target,
            PartnerAgreement terms) {
        String best = null;
        double bestLack = 0;
        for (String o : names) {
            if (over.get(o) >= 0) {
                continue;
            }
            Party p = terms == null ? null : terms.party(o);
            double guaranteed =
                    p == null || p.owed() == 0 ? 0 : target.get(o) * (double) Math.min(p.owed(), p.brings()) / p.owed();
            double lack =
                    -over.get(o) / (double) target.get(o) + (has.getOrDefault(o, 0) < Math.floor(guaranteed) ? 1 : 0);
            if (lack > bestLack) {
                best = o;
                bestLack = lack;
            }
        }
        return best;
    }
}
