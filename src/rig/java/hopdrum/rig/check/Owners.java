package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;

/** The checker's part on shards: who acted on which from when until when, by the doors' own logs, and what that broke. */
final class Owners {
    private static final long SLACK_US = 20_000; // between a line in a log and what it tells of
    private static final long HAND_OVER_US = 15_000_000;

    interface RunEnd {
        long of(String door, long atUs);
    }

    interface Fault {
        void is(String rule, long atUs, String what);
    }

    /** One door acted on a shard for its operator. */
    private record Span(String operator, String door, long fromUs, long untilUs) {}

    private final JsonNode trial;
    private final List<JsonNode> rig;
    private final Map<String, List<JsonNode>> doors;
    private final RunEnd runEnd;
    private final Fault fault;
    private final List<String> measured;
    private final int shards;
    private final Map<Integer, List<Span>> spans = new TreeMap<>();
    private final List<JsonNode> divisions = new ArrayList<>(); // each once, as it was logged first
    private final Map<Integer, List<Long>> moved = new HashMap<>(); // by shard, when
    private final long endUs;

    Owners(
            JsonNode trial,
            List<JsonNode> rig,
            Map<String, List<JsonNode>> doors,
            RunEnd runEnd,
            Fault fault,
            List<String> measured) {
        this.trial = trial;
        this.rig = rig;
        this.doors = doors;
        this.runEnd = runEnd;
        this.fault = fault;
        this.measured = measured;
        this.shards = trial.path("shards").asInt();
        this.endUs = rig.stream()
                .filter(l -> is(l, "end"))
                .mapToLong(Owners::at)
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    private static boolean is(JsonNode line, String event) {
        return line.path("event").asText().equals(event);
    }

    private static long at(JsonNode line) {
        return line.path("mono_us").asLong();
    }

    /** As docs/fleet.md has it: MurmurHash3, x86, 32 bits, seed 0, of the key's eight bytes. The key is a customer's number and 1. */
    private int shardOf(int customer) {
        return Integer.remainderUnsigned(
                MurmurHash3.hash32x86(
                        ByteBuffer.allocate(8).putLong(customer + 1L).array(), 0, 8, 0),
                shards);
    }

    void check() {
        if (shards == 0) {
            return;
        }
        readSpans();
        readDivisions();
        oneOwner();
        ran();
        agreed();
        gaps();
        cost();
    }

    private void readSpans() {
        for (Map.Entry<String, List<JsonNode>> e : doors.entrySet()) {
            List<JsonNode> acts = e.getValue().stream()
                    .filter(l -> is(l, "acts") || is(l, "starts"))
                    .toList();
            for (int i = 0; i < acts.size(); i++) {
                JsonNode l = acts.get(i);
                String on = l.path("on").asText();
                long until = Math.min(
                        l.path("until_us").asLong(), i + 1 < acts.size() ? at(acts.get(i + 1)) : Long.MAX_VALUE);
                until = Math.min(until, runEnd.of(e.getKey(), at(l)));
                for (int s = 0; s < on.length() && until > at(l); s++) {
                    if (on.charAt(s) == 'x') {
                        spans.computeIfAbsent(s, k -> new ArrayList<>())
                                .add(new Span(l.path("operator").asText(), e.getKey(), at(l), until));
                    }
                }
            }
        }
    }

    private void readDivisions() {
        Map<String, JsonNode> first = new LinkedHashMap<>();
        for (List<JsonNode> log : doors.values()) {
            for (JsonNode l : log) {
                if (is(l, "division")) {
                    first.merge(
                            l.path("era").asText() + "/" + l.path("number").asText(),
                            l,
                            (a, b) -> at(a) <= at(b) ? a : b);
                }
            }
        }
        divisions.addAll(first.values());
        divisions.sort(Comparator.<JsonNode>comparingLong(l -> l.path("era").asLong())
                .thenComparingLong(l -> l.path("number").asLong()));
        Map<String, Integer> byEpoch = new HashMap<>();
        for (int i = 1; i < divisions.size(); i++) {
            JsonNode d = divisions.get(i);
            int count = 0;
            for (int s = 0; s < shards; s++) {
                if (!owner(d, s).equals(owner(divisions.get(i - 1), s))) {
                    moved.computeIfAbsent(s, k -> new ArrayList<>()).add(at(d));
                    count++;
                }
            }
            long epoch = d.path("agreement").path("epoch_ms").asLong(60_000);
            int all = byEpoch.merge(
                    d.path("era").asText() + "/" + epoch + "/"
                            + d.path("as_of_ms").asLong() / epoch,
                    count,
                    Integer::sum);
            int most = d.path("agreement").path("moves").asInt(shards);
            boolean founds = d.path("number").asLong() == 1;
            if (all > most
                    && !founds
                    && d.path("agreement").equals(divisions.get(i - 1).path("agreement"))) {
                fault.is(
                        "moves",
                        at(d),
                        d.path("name").asText() + ": " + all + " shards moved in one epoch, " + most + " at most");
            }
        }
    }

    private static String owner(JsonNode division, int shard) {
        char c = division.path("owners").asText().charAt(shard);
        return c == '-' ? "" : division.path("operators").path(c - 'A').asText();
    }

    /** "one-owner": at no moment do doors of two operators act on one shard. */
    private void oneOwner() {
        spans.forEach((shard, all) -> {
            List<Span> sorted = new ArrayList<>(all);
            sorted.sort(Comparator.comparingLong(Span::fromUs));
            Map<String, Span> last = new HashMap<>(); // by operator: the one that acts longest
            for (Span s : sorted) {
                for (Span other : last.values()) {
                    if (!other.operator.equals(s.operator) && other.untilUs > s.fromUs) {
                        fault.is(
                                "one-owner",
                                s.fromUs,
                                s.door + " of " + s.operator + " and " + other.door + " of " + other.operator
                                        + " act on shard " + shard);
                        return;
                    }
                }
                last.merge(s.operator, s, (a, b) -> a.untilUs >= b.untilUs ? a : b);
            }
        });
    }

    /**
     * "owner": an RPC runs at an operator's backends only if a door of it acted on the customer's shard while the RPC was under
     * way. "one-operator": no RPC runs at two operators'.
     */
    private void ran() {
        Map<String, JsonNode> rpcs = new HashMap<>();
        rig.stream()
                .filter(l -> is(l, "rpc"))
                .forEach(l -> rpcs.put(l.path("rpc").asText(), l));
        Map<String, String> where = new HashMap<>();
        for (JsonNode l : rig) {
            JsonNode rpc = is(l, "ran") ? rpcs.get(l.path("rpc").asText()) : null;
            if (rpc == null) {
                continue;
            }
            String operator = l.path("operator").asText();
            String before = where.putIfAbsent(l.path("rpc").asText(), operator);
            if (before != null && !before.equals(operator)) {
                fault.is(
                        "one-operator",
                        at(l),
                        "RPC " + l.path("rpc").asText() + " ran at " + before + "'s and at " + operator + "'s");
            }
            int shard = shardOf(rpc.path("customer").asInt());
            long sent = rpc.path("sent_us").asLong();
            if (spans.getOrDefault(shard, List.of()).stream()
                    .noneMatch(s -> s.operator.equals(operator)
                            && s.fromUs <= at(l) + SLACK_US
                            && s.untilUs >= sent - SLACK_US)) {
                fault.is(
                        "owner",
                        at(l),
                        "RPC " + l.path("rpc").asText() + " of shard " + shard + " ran at " + operator
                                + "'s, none of whose doors acted on it");
            }
        }
    }

    /** "agreed": no agreement is in force to which a party named in it has not said yes; one that gave notice has. */
    private void agreed() {
        Map<String, Set<String>> yes = new HashMap<>(); // by terms: operators
        for (Map.Entry<String, List<JsonNode>> e : doors.entrySet()) {
            String operator = trial.path("doors").path(e.getKey()).asText();
            e.getValue().stream()
                    .filter(l -> is(l, "agrees"))
                    .forEach(l -> yes.computeIfAbsent(l.path("terms").toString(), k -> new HashSet<>())
                            .add(operator));
        }
        JsonNode before = null;
        for (JsonNode d : divisions) {
            JsonNode terms = d.path("agreement");
            if (terms.size() > 0 && !terms.equals(before)) {
                Set<String> said = yes.getOrDefault(terms.toString(), Set.of());
                boolean notice = before != null && sameBut(before, terms) && !said.isEmpty();
                for (Map.Entry<String, JsonNode> p : terms.path("parties").properties()) {
                    if (!notice && !said.contains(p.getKey())) {
                        fault.is(
                                "agreed",
                                at(d),
                                d.path("name").asText() + ": revision " + terms.path("revision") + " is in force, "
                                        + p.getKey() + " has not agreed to it");
                    }
                }
                before = terms;
            }
        }
    }

    /** The same terms one revision on, ending sooner and no sooner than the notice. */
    private static boolean sameBut(JsonNode before, JsonNode after) {
        for (Map.Entry<String, JsonNode> f : before.properties()) {
            if (!Set.of("revision", "until_ms").contains(f.getKey())
                    && !f.getValue().equals(after.path(f.getKey()))) {
                return false;
            }
        }
        return after.path("until_ms").asLong() < before.path("until_ms").asLong();
    }

    /** Merged over the doors of all operators: when each shard had somebody. */
    private List<long[]> covered(int shard) {
        List<long[]> merged = new ArrayList<>();
        spans.getOrDefault(shard, List.of()).stream()
                .sorted(Comparator.comparingLong(Span::fromUs))
                .forEach(s -> {
                    if (!merged.isEmpty() && merged.get(merged.size() - 1)[1] >= s.fromUs) {
                        merged.get(merged.size() - 1)[1] = Math.max(merged.get(merged.size() - 1)[1], s.untilUs);
                    } else {
                        merged.add(new long[] {s.fromUs, s.untilUs});
                    }
                });
        return merged;
    }

    /** No rule by itself: how long shards had nobody. */
    private void gaps() {
        List<Long> gaps = new ArrayList<>();
        for (int s = 0; s < shards; s++) {
            List<long[]> covered = covered(s);
            for (int i = 1; i < covered.size() && covered.get(i)[0] < endUs; i++) {
                gaps.add(covered.get(i)[0] - covered.get(i - 1)[1]);
            }
        }
        Collections.sort(gaps);
        int moves = moved.values().stream().mapToInt(List::size).sum();
        measured.add(String.format(
                java.util.Locale.ROOT,
                "shards moved: %d; times without an owner: %d, median %.2f s, worst %.2f s",
                moves,
                gaps.size(),
                gaps.isEmpty() ? 0 : gaps.get(gaps.size() / 2) / 1e6,
                gaps.isEmpty() ? 0 : gaps.get(gaps.size() - 1) / 1e6));
    }

    /** No rule: what a move costs RPCs, and what it costs one to be passed on. */
    private void cost() {
        Map<String, String> where = new HashMap<>();
        rig.stream()
                .filter(l -> is(l, "ran"))
                .forEach(l ->
                        where.put(l.path("rpc").asText(), l.path("operator").asText()));
        int[][] count = new int[2][3]; // of shards that moved just then, of others: all, refused, late or lost
        List<Long> at = new ArrayList<>();
        List<Long> passed = new ArrayList<>();
        long deadline = trial.path("deadline_us").asLong();
        for (JsonNode l : rig) {
            if (!is(l, "rpc")) {
                continue;
            }
            long sent = l.path("sent_us").asLong();
            boolean just = moved.getOrDefault(shardOf(l.path("customer").asInt()), List.of()).stream()
                    .anyMatch(m -> sent >= m - 500_000 && sent < m + 2_000_000);
            String status = l.path("status").asText();
            int[] c = count[just ? 0 : 1];
            c[0]++;
            c[1] += status.equals("429") || status.equals("503") ? 1 : 0;
            c[2] += (status.equals("200") && at(l) - sent <= deadline / 2)
                            || status.equals("429")
                            || status.equals("503")
                    ? 0
                    : 1;
            if (status.equals("200") && where.containsKey(l.path("rpc").asText())) {
                boolean home = where.get(l.path("rpc").asText())
                        .equals(trial.path("doors")
                                .path(l.path("door").asText())
                                .asText());
                (home ? at : passed).add(at(l) - sent);
            }
        }
        for (int i = 0; i < 2; i++) {
            measured.add(String.format(
                    java.util.Locale.ROOT,
                    "RPCs of shards that %s: %d, refused %.3f, late or without an answer %.3f",
                    i == 0 ? "moved within 2 s" : "did not",
                    count[i][0],
                    count[i][1] / Math.max(1.0, count[i][0]),
                    count[i][2] / Math.max(1.0, count[i][0])));
        }
        Collections.sort(at);
        Collections.sort(passed);
        measured.add(String.format(
                java.util.Locale.ROOT,
                "answered where they came: %d, p50 %.1f ms; passed on: %d, p50 %.1f ms",
                at.size(),
                at.isEmpty() ? 0 : at.get(at.size() / 2) / 1e3,
                passed.size(),
                passed.isEmpty() ? 0 : passed.get(passed.size() / 2) / 1e3));
    }

    // ---- What the quota rule and a trial ask ----

    /** How often a customer's shard moved, or was being handed over, within a window: each may let in a burst more. */
    int moves(int customer, long fromUs, long toUs) {
        if (shards == 0) {
            return 0;
        }
        return (int) moved.getOrDefault(shardOf(customer), List.of()).stream()
                .filter(m -> m >= fromUs - HAND_OVER_US && m <= toUs)
                .count();
    }

    private Map<String, Integer> actingAt(long atUs) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int s = 0; s < shards; s++) {
            Set<String> who = new TreeSet<>();
            spans.getOrDefault(s, List.of()).stream()
                    .filter(x -> x.fromUs <= atUs && atUs < x.untilUs)
                    .forEach(x -> who.add(x.operator));
            who.forEach(o -> counts.merge(o, 1, Integer::sum));
        }
        return counts;
    }

    /** "shares": at the limit these operators act on so many shards; measured is since when they did. */
    void shares(JsonNode step, long withinUs) {
        Map<String, Integer> wanted = new TreeMap<>();
        step.path("more").path("of").properties().forEach(e -> {
            if (e.getValue().asInt() > 0) {
                wanted.put(e.getKey(), e.getValue().asInt());
            }
        });
        for (long t = at(step); t <= withinUs; t += 20_000) {
            if (actingAt(t).equals(wanted)) {
                measured.add(String.format(
                        java.util.Locale.ROOT,
                        "shares %s %.2f s after they were asked for",
                        wanted,
                        (t - at(step)) / 1e6));
                return;
            }
        }
        fault.is("shares", withinUs, "acted on are " + actingAt(withinUs) + ", not " + wanted);
    }

    /** "owned": from the limit on, for so long, no shard is without an owner for longer than is said. */
    void owned(JsonNode step, long withinUs, long untilUs) {
        long mostUs = (long) (1e6 * step.path("more").path("most_s").asDouble(0.5));
        for (int s = 0; s < shards; s++) {
            long from = withinUs;
            List<long[]> covered = new ArrayList<>(covered(s));
            covered.add(new long[] {untilUs, untilUs});
            for (long[] c : covered) {
                if (c[1] >= from && Math.min(c[0], untilUs) - from > mostUs) {
                    fault.is(
                            "owned",
                            from,
                            String.format(
                                    java.util.Locale.ROOT,
                                    "shard %d has nobody for %.2f s",
                                    s,
                                    (Math.min(c[0], untilUs) - from) / 1e6));
                    return;
                }
                from = Math.max(from, c[1]);
            }
        }
    }

    /** "refusal": some door refuses an offer with these words. */
    void refusal(JsonNode step, long withinUs) {
        String words = step.path("more").path("says").asText();
        for (List<JsonNode> log : doors.values()) {
            for (JsonNode l : log) {
                if (is(l, "refuses")
                        && at(l) >= at(step)
                        && at(l) <= withinUs
                        && l.path("why").asText().contains(words)) {
                    return;
                }
            }
        }
        fault.is("refusal", withinUs, "nobody refused with: " + words);
    }
}
