package hopdrum.rig.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;

/** A trial as its file tells it; docs/trials.md describes the form. Throws IllegalArgumentException with all faults. */
final class TrialFile {
    /** One process. */
    record Door(String name, String operator, String site, String answersTo, String planted) {}

    /** Something done or expected at a time after the trial's start. */
    record Step(long atMs, String what, List<String> who, Map<String, Object> more) {
        double number(String key, double absent) {
            return more.get(key) instanceof Number n ? n.doubleValue() : absent;
        }

        String text(String key, String absent) {
            return more.get(key) == null ? absent : more.get(key).toString();
        }
    }

    private static final Set<String> TOP = Set.of(
            "about",
            "probe_period_ms",
            "lease_ms",
            "doors",
            "founders",
            "load",
            "steps",
            "random",
            "length_s",
            "backends",
            "work_ms",
            "slots",
            "placement",
            "delays_ms",
            "warm",
            "shards",
            "most_alone_ms",
            "terms");
    private static final Set<String> DOOR = Set.of("name", "operator", "site", "answers_to", "planted");
    private static final Set<String> LOAD = Set.of(
            "rpcs_a_second", "customers", "rate", "burst", "deadline_ms", "doors", "ceiling_rate", "ceiling_burst");
    private static final Set<String> RANDOM = Set.of("from_s", "to_s", "every_s", "of", "most_down", "hold_s");
    private static final Set<String> STEPS = Set.of(
            "start",
            "kill",
            "term",
            "pause",
            "wake",
            "cut",
            "cut_both",
            "heal",
            "delay",
            "lose",
            "duplicate",
            "hold",
            "release",
            "trickle",
            "reset",
            "counter",
            "expect_settled",
            "expect_same_view",
            "expect_cut_off",
            "expect_refused",
            "expect_unchanged",
            "expect_not_dropped",
            "expect_answered",
            "slow_site",
            "expect_map",
            "lose_site",
            "lie",
            "expect_in_time",
            "amend",
            "await_revision",
            "lose_passing",
            "expect_shares",
            "expect_owned",
            "expect_refusal");
    private static final Set<String> MORE = Set.of(
            "from",
            "to",
            "store",
            "ms",
            "percent",
            "bytes_a_second",
            "is",
            "within_s",
            "for_s",
            "share",
            "times",
            "site",
            "error",
            "terms",
            "of",
            "now",
            "says",
            "most_s");

    final String about;
    final int periodMs;
    final int leaseMs;
    final int backends;
    final int workMs;
    final int slots;
    final String placement;
    final double rpcsASecond;
    final int customers;
    final double rate;
    final double burst;
    final double ceilingRate; // 0: none
    final double ceilingBurst;
    final int deadlineMs;
    final List<String> entries; // the doors that clients come to
    final long lengthMs;
    final int shards; // 0: nothing is divided between operators
    final int mostAloneMs;
    final Map<String, Map<String, Object>> terms = new LinkedHashMap<>(); // by operator, as they are at the start
    final List<Door> doors = new ArrayList<>();
    final Map<String, Double> delaysMs = new LinkedHashMap<>(); // one way, by "site-site"
    final List<String> founders;
    final List<String> warm; // there and settled before the first step
    final List<Step> steps = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();

    TrialFile(Path file, long seed) throws IOException {
        Map<?, ?> all;
        try {
            all = new Yaml(new SafeConstructor(new LoaderOptions())).load(Files.readString(file));
        } catch (YAMLException e) {
            throw new IllegalArgumentException(
                    file + ": no YAML: " + e.getMessage().lines().findFirst().orElse(""), e);
        }
        known("the trial", all, TOP);
        about = String.valueOf(all.get("about"));
        periodMs = (int) number(all, "probe_period_ms", 200);
        leaseMs = (int) number(all, "lease_ms", 1_500);
        backends = (int) number(all, "backends", 4);
        workMs = (int) number(all, "work_ms", 5);
        slots = (int) number(all, "slots", 0);
        placement = text(all, "placement", "map");
        shards = (int) number(all, "shards", 0);
        mostAloneMs = (int) number(all, "most_alone_ms", 2_000);
        lengthMs = (long) (1_000 * number(all, "length_s", 20));
        Map<?, ?> load = all.get("load") instanceof Map<?, ?> m ? m : Map.of();
        known("load", load, LOAD);
        rpcsASecond = number(load, "rpcs_a_second", 0);
        customers = (int) number(load, "customers", 10);
        rate = number(load, "rate", 5);
        burst = number(load, "burst", 10);
        ceilingRate = number(load, "ceiling_rate", 0);
        ceilingBurst = number(load, "ceiling_burst", 0);
        deadlineMs = (int) number(load, "deadline_ms", 2_000);
        for (Object o : list(all, "doors")) {
            Map<?, ?> d = o instanceof Map<?, ?> m ? m : Map.of();
            known("a door", d, DOOR);
            String name = String.valueOf(d.get("name"));
            doors.add(new Door(
                    name,
                    text(d, "operator", "north"),
                    text(d, "site", "here"),
                    text(d, "answers_to", name),
                    text(d, "planted", "")));
        }
        if (all.get("delays_ms") instanceof Map<?, ?> delays) {
            Set<String> sites = new HashSet<>(doors.stream().map(Door::site).toList());
            delays.forEach((k, v) -> {
                String[] ends = String.valueOf(k).split("-");
                if (ends.length != 2
                        || !sites.contains(ends[0])
                        || !sites.contains(ends[1])
                        || !(v instanceof Number n && n.doubleValue() >= 0)) {
                    faults.add("delays_ms: " + k + ": " + v
                            + ", expected SITE-SITE: milliseconds one way, of sites that doors have");
                } else {
                    delaysMs.put(ends[0] + "-" + ends[1], n.doubleValue());
                }
            });
        }
        founders = list(all, "founders").stream().map(String::valueOf).toList();
        Set<String> names = new HashSet<>(doors.stream().map(Door::name).toList());
        warm = names(all.get("warm"), names);
        entries = load.get("doors") == null ? doors.stream().map(Door::name).toList() : names(load.get("doors"), names);
        Set<String> operators = new HashSet<>(doors.stream().map(Door::operator).toList());
        if (all.get("terms") instanceof Map<?, ?> m) {
            m.forEach((operator, t) -> terms.put(String.valueOf(operator), terms(operators, operator, t)));
        }
        for (Object o : list(all, "steps")) {
            step(o, names, operators);
        }
        if (all.get("random") instanceof Map<?, ?> r) {
            known("random", r, RANDOM);
            draw(r, new SplittableRandom(seed));
        }
        steps.sort(java.util.Comparator.comparingLong(Step::atMs));
        for (Step s : steps) {
            if (s.atMs > lengthMs) {
                faults.add("the step " + s.what + " at " + s.atMs / 1000.0 + " s comes after the trial's end, "
                        + lengthMs / 1000.0 + " s");
            }
        }
        if (!faults.isEmpty()) {
            throw new IllegalArgumentException(file + ": " + String.join("\n" + file + ": ", faults));
        }
    }

    private Map<String, Object> terms(Set<String> operators, Object operator, Object given) {
        if (!operators.contains(String.valueOf(operator))) {
            faults.add("terms: no door is " + operator + "'s");
        }
        Map<String, Object> keys = new LinkedHashMap<>();
        if (given instanceof Map<?, ?> m) {
            m.forEach((k, v) -> keys.put(String.valueOf(k), v));
        } else {
            faults.add("terms: of " + operator + ": are no keys and values");
        }
        return keys;
    }

    private void step(Object o, Set<String> names, Set<String> operators) {
        Map<?, ?> s = o instanceof Map<?, ?> m ? m : Map.of();
        Map<String, Object> more = new LinkedHashMap<>();
        String what = null;
        List<String> who = List.of();
        for (Map.Entry<?, ?> e : s.entrySet()) {
            String key = String.valueOf(e.getKey());
            if (STEPS.contains(key)) {
                what = key;
                if (key.equals("amend") || key.equals("await_revision")) {
                    who = List.of(String.valueOf(e.getValue()));
                } else {
                    who = names(e.getValue(), names);
                }
            } else if (MORE.contains(key)) {
                more.put(key, key.equals("from") || key.equals("to") ? names(e.getValue(), names) : e.getValue());
            } else if (!key.equals("at_s")) {
                faults.add("a step has the unknown key " + key);
            }
        }
        if (what == null || !(s.get("at_s") instanceof Number at)) {
            faults.add("a step lacks what it does or its at_s: " + s);
            return;
        }
        if (what.equals("amend")) {
            more.put("terms", terms(operators, who.get(0), more.get("terms")));
        }
        steps.add(new Step((long) (at.doubleValue() * 1_000), what, who, more));
    }

    /** "all", "rest" is not known; a name or a list of names. */
    private List<String> names(Object value, Set<String> names) {
        if ("all".equals(value)) {
            return doors.stream().map(Door::name).toList();
        }
        List<?> given = value instanceof List<?> l ? l : value == null ? List.of() : List.of(value);
        List<String> found = new ArrayList<>();
        for (Object n : given) {
            if (names.contains(String.valueOf(n))) {
                found.add(String.valueOf(n));
            } else {
                faults.add("no door has the name " + n);
            }
        }
        return found;
    }

    /** Faults at random, each undone after a while: the same seed draws the same. */
    private void draw(Map<?, ?> r, SplittableRandom random) {
        long from = (long) (1_000 * number(r, "from_s", 5));
        long to = (long) (1_000 * number(r, "to_s", 15));
        long every = (long) (1_000 * number(r, "every_s", 1));
        long hold = (long) (1_000 * number(r, "hold_s", 2));
        int most = (int) number(r, "most_down", 1);
        List<String> kinds = list(r, "of").stream().map(String::valueOf).toList();
        long[] freeAt = new long[doors.size()];
        for (long at = from; at < to; at += every / 2 + random.nextLong(every)) {
            int i = random.nextInt(doors.size());
            String kind = kinds.get(random.nextInt(kinds.size()));
            long back = Math.min(to, at + hold / 2 + random.nextLong(hold));
            long busy = 0;
            for (long f : freeAt) {
                busy += f > at ? 1 : 0;
            }
            if (freeAt[i] > at || busy >= most) {
                continue;
            }
            freeAt[i] = back + 1_500;
            List<String> who = List.of(doors.get(i).name());
            List<String> others = doors.stream()
                    .map(Door::name)
                    .filter(n -> !n.equals(who.get(0)))
                    .toList();
            switch (kind) {
                case "kill" -> {
                    steps.add(new Step(at, "kill", who, Map.of()));
                    steps.add(new Step(back, "start", who, Map.of("store", random.nextInt(4) == 0 ? "lost" : "kept")));
                }
                case "term" -> {
                    steps.add(new Step(at, "term", who, Map.of()));
                    steps.add(new Step(Math.max(back, at + 2_000), "start", who, Map.of()));
                }
                case "pause" -> {
                    steps.add(new Step(at, "pause", who, Map.of()));
                    steps.add(new Step(back, "wake", who, Map.of()));
                }
                case "cut" -> {
                    steps.add(new Step(at, "cut_both", List.of(), Map.of("from", who, "to", others)));
                    steps.add(new Step(back, "release", List.of(), Map.of("from", who, "to", others)));
                }
                case "lose" -> {
                    steps.add(new Step(at, "lose", List.of(), Map.of("from", others, "to", who, "percent", 30)));
                    steps.add(new Step(back, "release", List.of(), Map.of("from", others, "to", who)));
                }
                default -> faults.add("random: of: " + kind + " is not known, expected kill, term, pause, cut or lose");
            }
        }
    }

    private void known(String where, Map<?, ?> map, Set<String> keys) {
        for (Object key : map.keySet()) {
            if (!keys.contains(String.valueOf(key))) {
                faults.add(where + " has the unknown key " + key + ", expected one of "
                        + keys.stream().sorted().toList());
            }
        }
    }

    private double number(Map<?, ?> map, String key, double absent) {
        Object value = map.get(key);
        if (value != null && !(value instanceof Number n && n.doubleValue() >= 0)) {
            faults.add(key + " is no figure from 0 on: " + value);
            return absent;
        }
        return value instanceof Number n ? n.doubleValue() : absent;
    }

    private static String text(Map<?, ?> map, String key, String absent) {
        return map.get(key) == null ? absent : map.get(key).toString();
    }

    private static List<?> list(Map<?, ?> map, String key) {
        return map.get(key) instanceof List<?> l ? l : List.of();
    }
}
