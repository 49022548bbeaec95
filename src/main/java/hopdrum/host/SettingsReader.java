package hopdrum.host;

import hopdrum.host.Method.DeduplicationScope;
import hopdrum.host.Method.RetrySafety;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reads the operators' settings, given as pairs of path and value, into {@link Settings}: the one place that knows their
 * keys. Keys that it does not know are skipped.
 */
public final class SettingsReader {
    private static final Map<String, RetrySafety> RETRY_SAFETY = Map.of(
            "retryable", RetrySafety.IDEMPOTENT,
            "dedup", RetrySafety.DEDUPLICATED,
            "fragile", RetrySafety.NON_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPE = Map.of(
            "all", DeduplicationScope.ALL,
            "zone", DeduplicationScope.ZONE,
            "cell", DeduplicationScope.CELL);
    private static final Map<String, Boolean> FLAG = Map.of("true", true, "false", false);

    private final Map<String, String> pairs;

    private SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /**
     * Reads settings.
     *
     * @throws IllegalArgumentException with a message that names the key which is missing or cannot be read
     */
    public static Settings read(Map<String, String> pairs) {
        return new SettingsReader(pairs).settings();
    }

    private Settings settings() {
        List<Method> methods = list("Lanes.", number("Lanes.count"), this::method);
        List<Plan> plans = list("Packages.", number("Packages.count", 0), this::plan);
        String weights = pairs.getOrDefault("Weights", "none");
        return new Settings(
                (int) whole("NInstances"),
                (int) whole("Ordinal"),
                whole("TickUs"),
                methods,
                plans,
                flag("FamilyInfo.MayCount"),
                (long) number("FamilyInfo.CountWaitUs", 0),
                flag("Bounds.Peers"),
                flag("FamilyInfo.Settles"),
                (int) whole("Bounds.AttemptsCap"),
                flag("Bounds.Cancel"),
                flag("Bounds.RetryAfter"),
                (long) number("Bounds.MaxRetryAfterUs", 0),
                flag("Bounds.SecondCopies"),
                pairs.getOrDefault("RegistryMode", "push").equals("ask"),
                weights.equals("nominal") || weights.equals("rough"),
                List.of(pairs.getOrDefault("Report.Fields", "").split(",")),
                number("Rules.ColdFrom"),
                whole("Rules.WarmAfterUs"),
                number("Rules.OverloadFactor"),
                whole("Rules.FallUs"));
    }

    private static <T> List<T> list(String path, double count, Function<String, T> readEntry) {
        List<T> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(readEntry.apply(path + i + "."));
        }
        return entries;
    }

    private Method method(String path) {
        RetrySafety retrySafety = choice(path + "Effect", RETRY_SAFETY);
        boolean deduplicated = retrySafety == RetrySafety.DEDUPLICATED;
        return new Method(
                whole(path + "AimUs"),
                whole(path + "GiveUpUs"),
                retrySafety,
                deduplicated ? choice(path + "Group", DEDUPLICATION_SCOPE) : DeduplicationScope.ALL,
                deduplicated ? whole(path + "WindowUs") : 0,
                number(path + "LateWorth", 0),
                flag(path + "Stream"));
    }

    private Plan plan(String path) {
        return new Plan(
                number(path + "PerSecond", 0),
                number(path + "Burst", 0),
                (int) number(path + "Concurrency", 0),
                number(path + "CapRate", 0),
                number(path + "CeilingBurst", 0),
                number(path + "CapSlack", 0));
    }

    private String required(String key) {
        String value = pairs.get(key);
        if (value == null) {
            throw new IllegalArgumentException("settings lack " + key);
        }
        return value;
    }

    private double number(String key) {
        String value = required(key);
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("settings: " + key + " is no number: " + value, e);
        }
    }

    private double number(String key, double absent) {
        return pairs.containsKey(key) ? number(key) : absent;
    }

    private long whole(String key) {
        return (long) number(key);
    }

    private boolean flag(String key) {
        return pairs.containsKey(key) && choice(key, FLAG);
    }

    private <T> T choice(String key, Map<String, T> choices) {
        String value = required(key);
        T choice = choices.get(value);
        if (choice == null) {
            throw new IllegalArgumentException("settings: " + key + " is not known: " + value);
        }
        return choice;
    }
}
