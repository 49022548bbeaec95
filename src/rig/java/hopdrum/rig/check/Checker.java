package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Reads all logs of one trial after its end and says whether the rules were kept. It shares no code with the program:
 * it knows the logs' form, docs/trials.md, and nothing else.
 */
public final class Checker {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double TINY = 1e-9;
    private static final long ANSWER_SLACK_US = 500_000;
    private static final long COMING_ON_US =
            400_000; // new connections come for so long after SIGTERM, as the platform's do

    private record Broken(String rule, long atUs, String what) {}

    /** One start of one process, as the rig saw it. */
    private static final class Run {
        final String door;
        final long fromUs;
        long toUs = Long.MAX_VALUE;
        boolean killed;

        Run(String door, long fromUs) {
            this.door = door;
            this.fromUs = fromUs;
        }
    }

    private final List<JsonNode> rig;
    private final Map<String, List<JsonNode>> doors = new TreeMap<>(); // by door: what its process logged
    private final JsonNode trial;
    private final long beginUs;
    private final long endUs;
    private final List<Run> runs = new ArrayList<>();
    private final List<Broken> broken = new ArrayList<>();
    private final List<String> measured = new ArrayList<>();
    private final Owners owners;

    public Checker(Path folder) throws IOException {
        rig = lines(folder.resolve("rig.jsonl"));
        trial = rig.stream()
                .filter(l -> is(l, "trial"))
                .findFirst()
                .orElseThrow(() -> new IOException("no trial in " + folder));
        beginUs = rig.stream()
                .filter(l -> is(l, "begin"))
                .mapToLong(Checker::at)
                .findFirst()
                .orElse(at(trial));
        endUs = rig.stream()
                .filter(l -> is(l, "end"))
                .mapToLong(Checker::at)
                .findFirst()
                .orElse(Long.MAX_VALUE);
        List<String> names = new ArrayList<>();
        trial.path("doors").fieldNames().forEachRemaining(names::add);
        for (String door : names) {
            Path log = folder.resolve(door + ".jsonl");
            doors.put(door, Files.exists(log) ? lines(log) : List.of());
        }
        runs();
        processes();
        views();
        majorities();
        claims();
        answers();
        owners = new Owners(trial, rig, doors, this::runEnd, this::fault, measured);
        owners.check();
        quotas();
        ranOnce();
        expectations();
        lateness();
    }

    /** No rule: how late the rig itself was, so that a slow machine is not taken for a slow program. */
    private void lateness() {
        long[] worst = rig.stream()
                .filter(l -> is(l, "late"))
                .mapToLong(l -> l.path("us").asLong())
                .sorted()
                .toArray();
        if (worst.length > 0) {
            measured.add(String.format(
                    java.util.Locale.ROOT,
                    "the rig's own lateness, worst of each second: median %.1f ms, worst %.1f ms",
                    worst[worst.length / 2] / 1e3,
                    worst[worst.length - 1] / 1e3));
        }
    }

    /** A last line that was cut off with its process is no fault. */
    private static List<JsonNode> lines(Path file) throws IOException {
        List<JsonNode> all = new ArrayList<>();
        try (Stream<String> lines = Files.lines(file)) {
            for (String line : (Iterable<String>) lines::iterator) {
                try {
                    all.add(JSON.readTree(line));
                } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                    // cut off
                }
            }
        }
        all.removeIf(n -> n == null || !n.hasNonNull("event"));
        return all;
    }

    private static boolean is(JsonNode line, String event) {
        return line.path("event").asText().equals(event);
    }

    private static long at(JsonNode line) {
        return line.path("mono_us").asLong();
    }

    /** Null if all rules were kept, else the first broken one: rule, time, who and what. */
    public String verdict() {
        return broken.stream()
                .min(Comparator.comparingLong(Broken::atUs))
                .map(b -> b.rule + " at " + seconds(b.atUs) + ": " + b.what)
                .orElse(null);
    }

    /** All broken rules by name: for the trials of the checker itself. */
    public Set<String> rulesBroken() {
        Set<String> all = new TreeSet<>();
        broken.forEach(b -> all.add(b.rule));
        return all;
    }

    public List<String> measured() {
        return measured;
    }

    private String seconds(long atUs) {
        return String.format(java.util.Locale.ROOT, "%.2f s", (atUs - beginUs) / 1e6);
    }

    private void fault(String rule, long atUs, String what) {
        broken.add(new Broken(rule, atUs, what));
    }

    // ---- Processes ----

    private void runs() {
        Map<String, Run> open = new HashMap<>();
        for (JsonNode l : rig) {
            String door = l.path("door").asText();
            if (is(l, "started")) {
                Run run = new Run(door, at(l));
                runs.add(run);
                open.put(door, run);
            } else if (is(l, "killed") || is(l, "exited") || is(l, "ended")) {
                Run run = open.get(door);
                if (run != null && run.toUs == Long.MAX_VALUE) {
                    run.toUs = at(l);
                    run.killed = is(l, "killed");
                }
            }
        }
    }

    /** "process": one told to end does so by itself and as a success; none ends that was not told or killed. */
    private void processes() {
        Set<String> told = new HashSet<>();
        Set<String> killed = new HashSet<>();
        for (JsonNode l : rig) {
            String door = l.path("door").asText();
            if (is(l, "started")) {
                told.remove(door);
                killed.remove(door);
            } else if (is(l, "term")) {
                told.add(door);
            } else if (is(l, "killed")
                    || (is(l, "step") && l.path("do").asText().equals("kill"))) {
                l.path("who").forEach(w -> killed.add(w.asText()));
                killed.add(door);
            } else if (is(l, "ended")
                    && (!l.path("by_itself").asBoolean() || l.path("code").asInt() != 0)) {
                fault(
                        "process",
                        at(l),
                        door + " did not end by itself as a success, code "
                                + l.path("code").asInt());
            } else if (is(l, "exited") && !told.contains(door) && !killed.contains(door)) {
                fault(
                        "process",
                        at(l),
                        door + " ended with code " + l.path("code").asInt() + ", told by nobody");
            }
        }
        for (Map.Entry<String, List<JsonNode>> e : doors.entrySet()) {
            for (JsonNode l : e.getValue()) {
                if (is(l, "fault")) {
                    fault(
                            "process",
                            at(l),
                            e.getKey() + " logged a fault: " + l.path("why").asText());
                }
            }
        }
    }

    /** When the process of that moment ended; it acts on nothing after that. */
    private long runEnd(String door, long atUs) {
        return runs.stream()
                .filter(r -> r.door.equals(door) && r.fromUs <= atUs && atUs < r.toUs)
                .mapToLong(r -> r.toUs)
                .findFirst()
                .orElse(atUs);
    }

    private boolean runs(String door, long atUs) {
        return runs.stream().anyMatch(r -> r.door.equals(door) && r.fromUs <= atUs && atUs < r.toUs);
    }

    // ---- Views ----

    private static String viewOf(JsonNode l) {
        return l.path("era").asText() + "/" + l.path("number").asText();
    }

    /** "one-view": no era and number name two views. "order": numbers at one start never fall. "start": starts grow. */
    private void views() {
        Map<String, JsonNode> content = new HashMap<>();
        for (Map.Entry<String, List<JsonNode>> e : doors.entrySet()) {
            long era = 0;
            long number = 0;
            long start = 0;
            for (JsonNode l : e.getValue()) {
                if (is(l, "starts")) {
                    if (l.path("start").asLong() <= start) {
                        fault("start", at(l), e.getKey() + " starts as " + l.path("start") + " after " + start);
                    }
                    start = l.path("start").asLong();
                    era = 0;
                    number = 0;
                }
                if (!is(l, "view")) {
                    continue;
                }
                JsonNode before = content.putIfAbsent(viewOf(l), l.path("members"));
                if (before != null && !before.equals(l.path("members"))) {
                    fault(
                            "one-view",
                            at(l),
                            e.getKey() + ": " + viewOf(l) + " is " + l.path("members") + " and " + before);
                }
                if (l.path("era").asLong() < era
                        || (l.path("era").asLong() == era && l.path("number").asLong() < number)) {
                    fault("order", at(l), e.getKey() + " went back from " + era + "/" + number + " to " + viewOf(l));
                }
                era = l.path("era").asLong();
                number = l.path("number").asLong();
            }
        }
    }

    /** "majority": each view was accepted, in one ballot, by most voters of the one before; the first by all founders. */
    private void majorities() {
        Map<String, Map<String, Set<String>>> votes = new HashMap<>(); // by view, by ballot and content: name and voter
        Map<String, JsonNode> voters = new HashMap<>();
        Map<String, JsonNode> firstSeen = new LinkedHashMap<>();
        for (List<JsonNode> log : doors.values()) {
            for (JsonNode l : log) {
                if (is(l, "accepted")) {
                    votes.computeIfAbsent(viewOf(l), k -> new HashMap<>())
                            .computeIfAbsent(
                                    l.path("ballot") + "/" + l.path("proposer").asText() + "/" + l.path("members"),
                                    k -> new HashSet<>())
                            .add(l.path("name").asText() + "#" + l.path("voter").asText());
                } else if (is(l, "view")) {
                    voters.putIfAbsent(viewOf(l), l.path("voters"));
                    if (!l.path("how").asText().equals("kept")) {
                        firstSeen.merge(viewOf(l), l, (a, b) -> at(a) <= at(b) ? a : b);
                    }
                }
            }
        }
        for (JsonNode l : firstSeen.values()) {
            long number = l.path("number").asLong();
            Map<String, Set<String>> cast = votes.getOrDefault(viewOf(l), Map.of());
            int needed;
            Set<String> entitled = new HashSet<>();
            if (number == 1) {
                trial.path("founders").forEach(f -> entitled.add(f.asText()));
                needed = entitled.size();
            } else {
                JsonNode before = voters.get(l.path("era").asText() + "/" + (number - 1));
                if (before == null) {
                    fault(
                            "majority",
                            at(l),
                            l.path("name").asText() + ": " + viewOf(l) + " follows a view that nobody had");
                    continue;
                }
                before.properties()
                        .forEach(f ->
                                entitled.add(f.getKey() + "#" + f.getValue().asText()));
                needed = entitled.size() / 2 + 1;
            }
            int most = 0;
            for (Set<String> some : cast.values()) {
                int count = 0;
                for (String voter : some) {
                    count += entitled.contains(number == 1 ? voter.substring(0, voter.indexOf('#')) : voter) ? 1 : 0;
                }
                most = Math.max(most, count);
            }
            if (most < needed) {
                fault(
                        "majority",
                        at(l),
                        l.path("name").asText() + ": " + viewOf(l) + " has " + most + " votes in one ballot, " + needed
                                + " were needed");
            }
        }
    }

    // ---- Claims and quotas ----

    /** "claims": at no moment may the gateways of one tier claim more than the whole together. */
    private void claims() {
        Map<String, List<double[]>> changes = new HashMap<>(); // by operator: time and by how much the sum changes
        for (Map.Entry<String, List<JsonNode>> e : doors.entrySet()) {
            List<JsonNode> claims = e.getValue().stream()
                    .filter(l -> is(l, "claim") || is(l, "starts"))
                    .toList();
            for (int i = 0; i < claims.size(); i++) {
                JsonNode l = claims.get(i);
                if (!is(l, "claim")) {
                    continue;
                }
                long from = at(l);
                long until = Math.min(
                        l.path("until_us").asLong(), i + 1 < claims.size() ? at(claims.get(i + 1)) : Long.MAX_VALUE);
                for (Run r : runs) {
                    until = r.door.equals(e.getKey()) && r.fromUs <= from && from < r.toUs
                            ? Math.min(until, r.toUs)
                            : until;
                }
                if (until > from && l.path("of").asInt() > 0) {
                    List<double[]> of =
                            changes.computeIfAbsent(l.path("operator").asText(), k -> new ArrayList<>());
                    of.add(new double[] {from, 1.0 / l.path("of").asInt()});
                    of.add(new double[] {until, -1.0 / l.path("of").asInt()});
                }
            }
        }
        changes.forEach((operator, all) -> {
            all.sort(Comparator.<double[]>comparingDouble(c -> c[0]).thenComparingDouble(c -> c[1]));
            double sum = 0;
            double most = 0;
            for (double[] c : all) {
                sum += c[1];
                most = Math.max(most, sum);
                if (sum > 1 + TINY) {
                    fault(
                            "claims",
                            (long) c[0],
                            "the gateways of " + operator + " claim "
                                    + String.format(java.util.Locale.ROOT, "%.3f", sum) + " of the whole");
                    return;
                }
            }
            measured.add("most claimed at once of " + operator + "'s quotas: "
                    + String.format(java.util.Locale.ROOT, "%.3f", most));
        });
    }

    /**
     * "ceiling": over any window a customer under a ceiling has no more than its ceiling's burst and rate, moves or not.
     * "quota": what a customer is let in over any window is within two bursts (one at the counter, one in the buckets that
     * start as it falls silent; one more for each further time that it falls silent or is emptied), the rate, and an RPC
     * for each gateway, whose slice may be less than one.
     */
    private void quotas() {
        double rate = trial.path("rate").asDouble();
        double burst = trial.path("burst").asDouble();
        Set<Long> losses = new HashSet<>();
        for (JsonNode l : rig) {
            if (is(l, "counter") && !l.path("is").asText().equals("well")) {
                losses.add(at(l) / 1_000_000);
            }
        }
        int gateways = 0;
        for (JsonNode tier : trial.path("tiers")) {
            gateways = Math.max(gateways, tier.size());
        }
        Map<Integer, List<long[]>> let = new TreeMap<>();
        for (JsonNode l : rig) {
            if (is(l, "rpc") && l.path("status").asText().equals("200")) {
                let.computeIfAbsent(l.path("customer").asInt(), k -> new ArrayList<>())
                        .add(new long[] {l.path("sent_us").asLong(), at(l)});
            }
        }
        double ceilingRate = trial.path("ceiling_rate").asDouble();
        double ceilingBurst = trial.path("ceiling_burst").asDouble();
        double worst = Double.NEGATIVE_INFINITY;
        double ceilingPart = 0;
        for (Map.Entry<Integer, List<long[]>> e : let.entrySet()) {
            List<long[]> all = e.getValue();
            all.sort(Comparator.comparingLong(x -> x[0]));
            for (int i = 0; i < all.size(); i++) {
                long last = all.get(i)[1];
                for (int j = i; j < all.size(); j++) {
                    last = Math.max(last, all.get(j)[1]);
                    double most =
                            burst * (1 + Math.max(1, losses.size()) + owners.moves(e.getKey(), all.get(i)[0], last))
                                    + rate * (last - all.get(i)[0]) / 1e6
                                    + gateways;
                    worst = Math.max(worst, j - i + 1 - most);
                    double ceiling = ceilingBurst + ceilingRate * (last - all.get(i)[0]) / 1e6;
                    ceilingPart = ceilingRate > 0 ? Math.max(ceilingPart, (j - i + 1) / ceiling) : 0;
                    if (ceilingRate > 0 && j - i + 1 > ceiling) {
                        fault(
                                "ceiling",
                                last,
                                "customer " + e.getKey() + " had " + (j - i + 1) + " RPCs in, its ceiling is "
                                        + ceiling);
                        return;
                    }
                    if (j - i + 1 > most) {
                        fault(
                                "quota",
                                last,
                                "customer " + e.getKey() + " had " + (j - i + 1) + " RPCs in, " + most + " at most");
                        return;
                    }
                }
            }
        }
        if (ceilingPart > 0) {
            measured.add(
                    "closest to a ceiling: " + String.format(java.util.Locale.ROOT, "%.2f", ceilingPart) + " of it");
        }
        if (!let.isEmpty()) {
            measured.add("closest to the bound on a quota: " + String.format(java.util.Locale.ROOT, "%.1f", -worst)
                    + " RPCs below it");
        }
    }

    // ---- RPCs ----

    private boolean wasUp(String door, long fromUs, long toUs) {
        return runs.stream().anyMatch(r -> r.door.equals(door) && r.fromUs <= fromUs && toUs < r.toUs);
    }

    private boolean wasPaused(String door, long fromUs, long toUs) {
        long since = Long.MAX_VALUE;
        for (JsonNode l : rig) {
            if (is(l, "signal") && l.path("door").asText().equals(door)) {
                if (l.path("which").asText().equals("STOP")) {
                    since = at(l);
                } else if (since <= toUs && at(l) >= fromUs) {
                    return true;
                } else {
                    since = Long.MAX_VALUE;
                }
            }
        }
        return since <= toUs;
    }

    /** Whether it came on a new connection to one that had been told to end too long before: it need not be taken. */
    private boolean cameTooLate(String door, long sentUs) {
        long termUs = Long.MAX_VALUE;
        for (JsonNode l : rig) {
            if (l.path("door").asText().equals(door) && at(l) <= sentUs) {
                termUs = is(l, "term") ? at(l) : is(l, "started") ? Long.MAX_VALUE : termUs;
            }
        }
        return termUs != Long.MAX_VALUE && sentUs > termUs + COMING_ON_US;
    }

    /** "answer": an RPC that a living, running process took has one final answer, half a second after its time at most. */
    private void answers() {
        Map<String, Integer> byStatus = new TreeMap<>();
        long deadline = trial.path("deadline_us").asLong();
        for (JsonNode l : rig) {
            if (!is(l, "rpc")) {
                continue;
            }
            String status = l.path("status").asText();
            String door = l.path("door").asText();
            long sent = l.path("sent_us").asLong();
            byStatus.merge(status, 1, Integer::sum);
            long tookUs = at(l) - sent;
            boolean owed = !status.equals("unreachable")
                    && wasUp(door, sent, Math.min(at(l), sent + deadline + ANSWER_SLACK_US) + 100_000)
                    && !wasPaused(door, sent, at(l));
            owed &= !(status.equals("broken") && cameTooLate(door, sent));
            if (owed && (status.equals("broken") || status.equals("none") || tookUs > deadline + ANSWER_SLACK_US)) {
                fault(
                        "answer",
                        at(l),
                        "RPC " + l.path("rpc").asText() + " at " + door + " ended as " + status + " after "
                                + tookUs / 1000 + " ms");
            }
        }
        if (!byStatus.isEmpty()) {
            measured.add("RPCs by status: " + byStatus);
        }
    }

    /** "once": an RPC whose method may not simply be repeated runs once at most. */
    private void ranOnce() {
        Map<String, Integer> ran = new HashMap<>();
        for (JsonNode l : rig) {
            if (is(l, "ran")
                    && l.path("method").asText().equals("once")
                    && ran.merge(l.path("rpc").asText(), 1, Integer::sum) > 1) {
                fault("once", at(l), "RPC " + l.path("rpc").asText() + " ran twice");
            }
        }
    }

    // ---- What the trial expects ----

    private void expectations() {
        for (JsonNode l : rig) {
            if (!is(l, "step")) {
                continue;
            }
            Set<String> who = new TreeSet<>();
            l.path("who").forEach(w -> who.add(w.asText()));
            long within = at(l) + (long) (1e6 * l.path("more").path("within_s").asDouble(5));
            long until = at(l) + (long) (1e6 * l.path("more").path("for_s").asDouble(5));
            switch (l.path("do").asText()) {
                case "expect_settled" -> settled(l, who, within, true);
                case "expect_same_view" -> settled(l, who, within, false);
                case "expect_cut_off" -> who.forEach(w -> event(l, w, within, "cut_off", "cut off"));
                case "expect_refused" -> who.forEach(w -> event(l, w, within, "refused", "refused"));
                case "expect_unchanged" -> unchanged(l, until);
                case "expect_not_dropped" -> notDropped(l, who, until);
                case "expect_answered" -> answered(l, until);
                case "expect_in_time" -> inTime(l, until);
                case "expect_shares" -> owners.shares(l, within);
                case "expect_owned" -> owners.owned(l, within, until);
                case "expect_refusal" -> owners.refusal(l, within);
                case "expect_map" -> map(l, within, until);
                default -> {}
            }
        }
    }

    /** What the process that runs at this moment has; the view of one that ran before it under the name is not its own. */
    private JsonNode viewAt(String door, long atUs) {
        long fromUs = runs.stream()
                .filter(r -> r.door.equals(door) && r.fromUs <= atUs)
                .mapToLong(r -> r.fromUs)
                .max()
                .orElse(0);
        JsonNode last = null;
        for (JsonNode l : doors.get(door)) {
            if (is(l, "view") && at(l) >= fromUs && at(l) <= atUs) {
                last = l;
            }
        }
        return last;
    }

    /** "settled": from some moment before the limit on, all of them have one view, of exactly them where that is asked. */
    private void settled(JsonNode step, Set<String> who, long withinUs, boolean exactly) {
        TreeSet<Long> moments = new TreeSet<>();
        moments.add(at(step));
        for (String w : who) {
            for (JsonNode l : doors.get(w)) {
                if (is(l, "view") && at(l) >= at(step) && at(l) <= withinUs) {
                    moments.add(at(l));
                }
            }
        }
        for (long moment : moments) {
            if (oneView(who, moment, exactly) == null) {
                double periods = (moment - at(step)) / trial.path("period_us").asDouble();
                measured.add("settled " + String.format(java.util.Locale.ROOT, "%.1f", periods) + " periods after "
                        + seconds(at(step)) + ": " + String.join(" ", who));
                return;
            }
        }
        fault("settled", withinUs, "not one view: " + oneView(who, withinUs, exactly));
    }

    /** Null if it is so, else what is not. */
    private String oneView(Set<String> who, long atUs, boolean exactly) {
        String first = null;
        for (String w : who) {
            JsonNode view = viewAt(w, atUs);
            if (view == null || !runs(w, atUs)) {
                return w + " has none";
            }
            if (first != null && !first.equals(viewOf(view))) {
                return w + " has " + viewOf(view) + ", others " + first;
            }
            first = viewOf(view);
            Set<String> members = new TreeSet<>();
            view.path("members").fieldNames().forEachRemaining(members::add);
            if (exactly && !members.equals(who)) {
                return w + "'s view " + first + " holds " + members;
            }
            if (exactly
                    && view.path("members").path(w).asLong()
                            != view.path("start").asLong()) {
                return w + "'s view holds another start of it";
            }
        }
        return null;
    }

    private void event(JsonNode step, String door, long withinUs, String event, String what) {
        for (JsonNode l : doors.get(door)) {
            if (is(l, event) && at(l) >= at(step) && at(l) <= withinUs) {
                return;
            }
        }
        fault("says", withinUs, door + " did not say that it is " + what);
    }

    /** "unchanged": no view is settled for so long; one that is told of a view that others had is no change. */
    private void unchanged(JsonNode step, long untilUs) {
        Map<String, JsonNode> first = new HashMap<>();
        doors.values()
                .forEach(log -> log.stream()
                        .filter(l -> is(l, "view"))
                        .forEach(l -> first.merge(viewOf(l), l, (x, y) -> at(x) <= at(y) ? x : y)));
        first.values().stream()
                .filter(l -> at(l) > at(step) && at(l) < untilUs)
                .min(Comparator.comparingLong(Checker::at))
                .ifPresent(l -> fault(
                        "unchanged",
                        at(l),
                        l.path("name").asText() + " has a new view " + viewOf(l) + " of "
                                + l.path("members").size()));
    }

    /** "dropped": no view that is settled meanwhile lacks any of them. */
    private void notDropped(JsonNode step, Set<String> who, long untilUs) {
        for (Map.Entry<String, List<JsonNode>> e : doors.entrySet()) {
            for (JsonNode l : e.getValue()) {
                if (is(l, "view") && at(l) > at(step) && at(l) < untilUs) {
                    for (String w : who) {
                        if (!l.path("members").has(w)) {
                            fault("dropped", at(l), w + " is not in " + viewOf(l));
                            return;
                        }
                    }
                }
            }
        }
    }

    /** "in_time": of the RPCs sent meanwhile that were not beyond a quota, so many had their 200 within the soft deadline. */
    private void inTime(JsonNode step, long untilUs) {
        int all = 0;
        int inTime = 0;
        List<Long> took = new ArrayList<>();
        Map<String, String> door = new HashMap<>();
        for (JsonNode l : rig) {
            long sent = l.path("sent_us").asLong();
            if (is(l, "rpc")
                    && sent >= at(step)
                    && sent < untilUs
                    && !l.path("status").asText().equals("429")) {
                all++;
                door.put(
                        l.path("rpc").asText(),
                        trial.path("sites").path(l.path("door").asText()).asText());
                if (l.path("status").asText().equals("200")) {
                    took.add(at(l) - sent);
                    inTime += at(l) - sent <= trial.path("deadline_us").asLong() / 2 ? 1 : 0;
                }
            }
        }
        int crossed = 0;
        Map<String, Integer> bySite = new TreeMap<>();
        for (JsonNode l : rig) {
            String from = is(l, "ran") ? door.get(l.path("rpc").asText()) : null;
            if (from != null) {
                bySite.merge(l.path("site").asText(), 1, Integer::sum);
                crossed += from.equals(l.path("site").asText()) ? 0 : 1;
            }
        }
        took.sort(null);
        double share = all == 0 ? 0 : (double) inTime / all;
        measured.add(String.format(
                java.util.Locale.ROOT,
                "from %s for %.0f s: %d RPCs, in time %.3f, p50 %.1f ms, p99 %.1f ms, crossed %.3f, by site %s",
                seconds(at(step)),
                (untilUs - at(step)) / 1e6,
                all,
                share,
                took.isEmpty() ? 0 : took.get(took.size() / 2) / 1e3,
                took.isEmpty() ? 0 : took.get(took.size() * 99 / 100) / 1e3,
                all == 0 ? 0 : (double) crossed / all,
                bySite));
        if (share < step.path("more").path("share").asDouble()) {
            fault("in_time", untilUs, String.format(java.util.Locale.ROOT, "%.3f of %d RPCs were in time", share, all));
        }
    }

    /** "map": from the limit on, for so long, the median error of all ways that doors log is at most so large. */
    private void map(JsonNode step, long withinUs, long untilUs) {
        List<Double> errors = new ArrayList<>();
        for (List<JsonNode> log : doors.values()) {
            for (JsonNode l : log) {
                if (!is(l, "map") || at(l) < withinUs || at(l) > untilUs) {
                    continue;
                }
                JsonNode truth = null;
                for (JsonNode d : rig) {
                    truth = is(d, "distances") && at(d) <= at(l) ? d.path("one_way_ms") : truth;
                }
                for (Map.Entry<String, JsonNode> way : l.path("ways").properties()) {
                    double oneWayMs = truth == null
                            ? 0
                            : truth.path(l.path("site").asText() + "-" + way.getKey())
                                    .asDouble();
                    if (oneWayMs >= 1) { // below, a machine's own delays are the larger part
                        errors.add(Math.abs(way.getValue().path(0).asDouble() / 2_000 - oneWayMs) / oneWayMs);
                    }
                }
            }
        }
        errors.sort(null);
        double median = errors.isEmpty() ? Double.POSITIVE_INFINITY : errors.get(errors.size() / 2);
        if (!errors.isEmpty()) {
            measured.add(String.format(
                    java.util.Locale.ROOT,
                    "error of the map from %s on, %d ways: median %.3f, p90 %.3f",
                    seconds(withinUs),
                    errors.size(),
                    median,
                    errors.get(errors.size() * 9 / 10)));
        }
        if (median > step.path("more").path("error").asDouble(0.1)) {
            fault(
                    "map",
                    withinUs,
                    String.format(java.util.Locale.ROOT, "the median error of %d ways is %.3f", errors.size(), median));
        }
    }

    /** "share": of the RPCs sent meanwhile at doors that ran, so large a part was answered with 200. */
    private void answered(JsonNode step, long untilUs) {
        int all = 0;
        int ok = 0;
        for (JsonNode l : rig) {
            long sent = l.path("sent_us").asLong();
            if (is(l, "rpc") && sent >= at(step) && sent < untilUs) {
                all++;
                ok += l.path("status").asText().equals("200") ? 1 : 0;
            }
        }
        double share = all == 0 ? 0 : (double) ok / all;
        measured.add("share answered with 200 from " + seconds(at(step)) + ": "
                + String.format(java.util.Locale.ROOT, "%.3f", share));
        if (share < step.path("more").path("share").asDouble()) {
            fault(
                    "share",
                    untilUs,
                    String.format(java.util.Locale.ROOT, "%.3f of %d RPCs were answered with 200", share, all));
        }
    }
}
