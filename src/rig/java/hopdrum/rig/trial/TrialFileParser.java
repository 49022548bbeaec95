package hopdrum.rig.trial;

import hopdrum.rig.trial.TrialFile.Backends;
import hopdrum.rig.trial.TrialFile.FrontDoor;
import hopdrum.rig.trial.TrialFile.Load;
import hopdrum.rig.trial.TrialFile.Shards;
import hopdrum.rig.trial.TrialFile.SitePair;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;

/** Reads one trial file. Collects all errors in the file, so that one exception reports them together. */
final class TrialFileParser {
    private static final Set<String> TRIAL_KEYS = Set.of(
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
    private static final Set<String> FRONT_DOOR_KEYS = Set.of("name", "operator", "site", "answers_to", "planted");
    private static final Set<String> LOAD_KEYS = Set.of(
            "rpcs_a_second", "customers", "rate", "burst", "deadline_ms", "doors", "ceiling_rate", "ceiling_burst");
    private static final Set<String> RANDOM_KEYS = Set.of("from_s", "to_s", "every_s", "of", "most_down", "hold_s");
    private static final Set<String> ARGUMENT_KEYS = Set.of(
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

    private final Path file;
    private final List<String> errors = new ArrayList<>();
    private final List<FrontDoor> frontDoors = new ArrayList<>();
    private final List<Step> steps = new ArrayList<>();

    TrialFileParser(Path file) {
        this.file = file;
    }

    /**
     * Parses the file.
     *
     * @param seed the seed of the faults that are drawn at random
     * @throws InvalidTrialFileException if the file cannot be used; the message has all errors in the file
     * @throws IOException if the file cannot be read
     */
    TrialFile parse(long seed) throws IOException {
        Map<?, ?> trial = readYaml();
        checkKeys("the trial", trial, TRIAL_KEYS);
        int probePeriodMs = (int) number(trial, "probe_period_ms", 200);
        int leaseMs = (int) number(trial, "lease_ms", 1_500);
        Backends backends = new Backends(
                (int) number(trial, "backends", 4), (int) number(trial, "work_ms", 5), (int) number(trial, "slots", 0));
        int shardCount = (int) number(trial, "shards", 0);
        int maxAloneMs = (int) number(trial, "most_alone_ms", 2_000);
        long lengthMs = milliseconds(trial, "length_s", 20);
        Map<?, ?> loadMap = trial.get("load") instanceof Map<?, ?> node ? node : Map.of();
        Load load = parseLoad(loadMap);
        list(trial, "doors").forEach(this::parseFrontDoor);
        Map<SitePair, Double> delaysMs = parseDelays(trial.get("delays_ms"));
        List<String> warmFrontDoors = parseNames(trial.get("warm"));
        load = load.withFrontDoors(loadMap.get("doors") == null ? frontDoorNames() : parseNames(loadMap.get("doors")));
        Map<String, Map<String, Object>> terms = parseAllTerms(trial.get("terms"));
        list(trial, "steps").forEach(this::parseStep);
        if (trial.get("random") instanceof Map<?, ?> random) {
            parseRandom(random, seed);
        }
        sortAndCheckSteps(lengthMs);
        if (!errors.isEmpty()) {
            throw new InvalidTrialFileException(file, errors);
        }
        return new TrialFile(
                String.valueOf(trial.get("about")),
                probePeriodMs,
                leaseMs,
                backends,
                text(trial, "placement", "map"),
                load,
                lengthMs,
                new Shards(shardCount, maxAloneMs, terms),
                frontDoors,
                delaysMs,
                list(trial, "founders").stream().map(String::valueOf).toList(),
                warmFrontDoors,
                steps);
    }

    private Map<?, ?> readYaml() throws IOException {
        try {
            return new Yaml(new SafeConstructor(new LoaderOptions())).load(Files.readString(file));
        } catch (YAMLException e) {
            throw new InvalidTrialFileException(
                    file, "invalid YAML: " + e.getMessage().lines().findFirst().orElse(""), e);
        }
    }

    private Load parseLoad(Map<?, ?> load) {
        checkKeys("load", load, LOAD_KEYS);
        return new Load(
                number(load, "rpcs_a_second", 0),
                (int) number(load, "customers", 10),
                number(load, "rate", 5),
                number(load, "burst", 10),
                number(load, "ceiling_rate", 0),
                number(load, "ceiling_burst", 0),
                (int) number(load, "deadline_ms", 2_000),
                List.of());
    }

    private void parseFrontDoor(Object node) {
        Map<?, ?> frontDoor = node instanceof Map<?, ?> keys ? keys : Map.of();
        checkKeys("a front door", frontDoor, FRONT_DOOR_KEYS);
        String name = String.valueOf(frontDoor.get("name"));
        frontDoors.add(new FrontDoor(
                name,
                text(frontDoor, "operator", "north"),
                text(frontDoor, "site", "here"),
                text(frontDoor, "answers_to", name),
                text(frontDoor, "planted", "")));
    }

    private Map<SitePair, Double> parseDelays(Object node) {
        Map<SitePair, Double> delaysMs = new LinkedHashMap<>();
        if (node instanceof Map<?, ?> delays) {
            Set<String> sites =
                    new HashSet<>(frontDoors.stream().map(FrontDoor::site).toList());
            delays.forEach((key, value) -> {
                String[] siteNames = String.valueOf(key).split("-", -1);
                if (siteNames.length != 2
                        || !sites.contains(siteNames[0])
                        || !sites.contains(siteNames[1])
                        || !(value instanceof Number delayMs && delayMs.doubleValue() >= 0)) {
                    errors.add("delays_ms: " + key + ": " + value
                            + ", expected SITE-SITE: one-way delay in milliseconds, between sites of front doors");
                } else {
                    delaysMs.put(new SitePair(siteNames[0], siteNames[1]), delayMs.doubleValue());
                }
            });
        }
        return delaysMs;
    }

    private Map<String, Map<String, Object>> parseAllTerms(Object node) {
        Map<String, Map<String, Object>> terms = new LinkedHashMap<>();
        if (node instanceof Map<?, ?> byOperator) {
            byOperator.forEach((operator, keys) -> terms.put(String.valueOf(operator), parseTerms(operator, keys)));
        }
        return terms;
    }

    private Map<String, Object> parseTerms(Object operator, Object node) {
        if (frontDoors.stream().noneMatch(frontDoor -> frontDoor.operator().equals(String.valueOf(operator)))) {
            errors.add("terms: operator " + operator + " has no front door");
        }
        Map<String, Object> terms = new LinkedHashMap<>();
        if (node instanceof Map<?, ?> keys) {
            keys.forEach((key, value) -> terms.put(String.valueOf(key), value));
        } else {
            errors.add("terms: operator " + operator + ": expected keys and values");
        }
        return terms;
    }

    private void parseStep(Object node) {
        Map<?, ?> keys = node instanceof Map<?, ?> map ? map : Map.of();
        Map<String, Object> arguments = new LinkedHashMap<>();
        StepAction action = null;
        List<String> targets = List.of();
        for (Map.Entry<?, ?> entry : keys.entrySet()) {
            String key = String.valueOf(entry.getKey());
            Optional<StepAction> known = StepAction.ofKey(key);
            if (known.isPresent()) {
                action = known.get();
                targets = action.takesText() ? List.of(String.valueOf(entry.getValue())) : parseNames(entry.getValue());
            } else if (ARGUMENT_KEYS.contains(key)) {
                boolean isFrontDoorList = key.equals("from") || key.equals("to");
                arguments.put(key, isFrontDoorList ? parseNames(entry.getValue()) : entry.getValue());
            } else if (!key.equals("at_s")) {
                errors.add("a step has the unknown key " + key);
            }
        }
        if (action == null || !(keys.get("at_s") instanceof Number atS)) {
            errors.add("a step needs an action and a numeric at_s: " + keys);
            return;
        }
        if (action == StepAction.AMEND) {
            arguments.put("terms", parseTerms(targets.get(0), arguments.get("terms")));
        }
        steps.add(new Step((long) (atS.doubleValue() * 1_000), action, targets, arguments));
    }

    private void parseRandom(Map<?, ?> random, long seed) {
        checkKeys("random", random, RANDOM_KEYS);
        RandomFaults drawn = new RandomFaults(
                milliseconds(random, "from_s", 5),
                milliseconds(random, "to_s", 15),
                milliseconds(random, "every_s", 1),
                milliseconds(random, "hold_s", 2),
                (int) number(random, "most_down", 1),
                list(random, "of").stream().map(String::valueOf).toList());
        steps.addAll(drawn.drawSteps(frontDoorNames(), new SplittableRandom(seed), errors));
    }

    private void sortAndCheckSteps(long lengthMs) {
        steps.sort(Comparator.comparingLong(Step::atMs));
        for (Step step : steps) {
            if (step.atMs() > lengthMs) {
                errors.add("the step " + step.action().key() + " at " + step.atMs() / 1000.0
                        + " s is after the trial's end at " + lengthMs / 1000.0 + " s");
            }
        }
    }

    private List<String> frontDoorNames() {
        return frontDoors.stream().map(FrontDoor::name).toList();
    }

    /** Parses "all", a name of a front door, or a list of names; unknown names are errors. */
    private List<String> parseNames(Object node) {
        List<String> known = frontDoorNames();
        if ("all".equals(node)) {
            return known;
        }
        List<?> names = node instanceof List<?> list ? list : node == null ? List.of() : List.of(node);
        List<String> found = new ArrayList<>();
        for (Object name : names) {
            if (known.contains(String.valueOf(name))) {
                found.add(String.valueOf(name));
            } else {
                errors.add("no front door has the name " + name);
            }
        }
        return found;
    }

    private void checkKeys(String where, Map<?, ?> map, Set<String> known) {
        for (Object key : map.keySet()) {
            if (!known.contains(String.valueOf(key))) {
                errors.add(where + " has the unknown key " + key + ", expected one of "
                        + known.stream().sorted().toList());
            }
        }
    }

    private double number(Map<?, ?> map, String key, double defaultValue) {
        Object value = map.get(key);
        if (value != null && !(value instanceof Number number && number.doubleValue() >= 0)) {
            errors.add(key + ": expected a number of at least 0, got " + value);
            return defaultValue;
        }
        return value instanceof Number number ? number.doubleValue() : defaultValue;
    }

    /** Returns the value of a key in seconds, as milliseconds. */
    private long milliseconds(Map<?, ?> map, String key, double defaultSeconds) {
        return (long) (1_000 * number(map, key, defaultSeconds));
    }

    private static String text(Map<?, ?> map, String key, String defaultValue) {
        return map.get(key) == null ? defaultValue : map.get(key).toString();
    }

    private static List<?> list(Map<?, ?> map, String key) {
        return map.get(key) instanceof List<?> list ? list : List.of();
    }
}
