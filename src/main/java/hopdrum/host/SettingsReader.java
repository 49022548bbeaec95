package hopdrum.host;

import hopdrum.host.Method.DeduplicationScope;
import hopdrum.host.Method.RetrySafety;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reads the operators' settings, given as a map from path to value, into {@link Settings}. This is the only class that
 * knows the keys of the settings. Unknown keys are ignored.
 */
public final class SettingsReader {
    private static final Map<String, RetrySafety> RETRY_SAFETY_BY_NAME = Map.of(
            "retryable", RetrySafety.IDEMPOTENT,
            "dedup", RetrySafety.DEDUPLICATED,
            "fragile", RetrySafety.NON_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPE_BY_NAME = Map.of(
            "all", DeduplicationScope.ALL,
            "zone", DeduplicationScope.ZONE,
            "cell", DeduplicationScope.CELL);
    private static final Map<String, Boolean> FLAG_BY_NAME = Map.of("true", true, "false", false);

    private final Map<String, String> valueByPath;

    private SettingsReader(Map<String, String> valueByPath) {
        this.valueByPath = valueByPath;
    }

    /**
     * Reads the settings.
     *
     * @param valueByPath the values by path
     * @throws IllegalArgumentException if a key is missing or its value cannot be read; the message names the key
     */
    public static Settings read(Map<String, String> valueByPath) {
        return new SettingsReader(valueByPath).readSettings();
    }

    private Settings readSettings() {
        List<Method> methods = readList("Lanes.", readNumber("Lanes.count"), this::readMethod);
        List<Plan> plans = readList("Packages.", readNumber("Packages.count", 0), this::readPlan);
        String weights = valueByPath.getOrDefault("Weights", "none");
        return new Settings(
                (int) readWholeNumber("NInstances"),
                (int) readWholeNumber("Ordinal"),
                readWholeNumber("TickUs"),
                methods,
                plans,
                readFlag("FamilyInfo.MayCount"),
                (long) readNumber("FamilyInfo.CountWaitUs", 0),
                readFlag("Bounds.Peers"),
                readFlag("FamilyInfo.Settles"),
                (int) readWholeNumber("Bounds.AttemptsCap"),
                readFlag("Bounds.Cancel"),
                readFlag("Bounds.RetryAfter"),
                (long) readNumber("Bounds.MaxRetryAfterUs", 0),
                readFlag("Bounds.SecondCopies"),
                valueByPath.getOrDefault("RegistryMode", "push").equals("ask"),
                weights.equals("nominal") || weights.equals("rough"),
                List.of(valueByPath.getOrDefault("Report.Fields", "").split(",")),
                readNumber("Rules.ColdFrom"),
                readWholeNumber("Rules.WarmAfterUs"),
                readNumber("Rules.OverloadFactor"),
                readWholeNumber("Rules.FallUs"));
    }

    private static <T> List<T> readList(String path, double count, Function<String, T> readEntry) {
        List<T> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(readEntry.apply(path + i + "."));
        }
        return entries;
    }

    private Method readMethod(String path) {
        RetrySafety retrySafety = readChoice(path + "Effect", RETRY_SAFETY_BY_NAME);
        boolean deduplicated = retrySafety == RetrySafety.DEDUPLICATED;
        return new Method(
                readWholeNumber(path + "AimUs"),
                readWholeNumber(path + "GiveUpUs"),
                retrySafety,
                deduplicated ? readChoice(path + "Group", DEDUPLICATION_SCOPE_BY_NAME) : DeduplicationScope.ALL,
                deduplicated ? readWholeNumber(path + "WindowUs") : 0,
                readNumber(path + "LateWorth", 0),
                readFlag(path + "Stream"));
    }

    private Plan readPlan(String path) {
        return new Plan(
                readNumber(path + "PerSecond", 0),
                readNumber(path + "Burst", 0),
                (int) readNumber(path + "Concurrency", 0),
                readNumber(path + "CapRate", 0),
                readNumber(path + "CeilingBurst", 0),
                readNumber(path + "CapSlack", 0));
    }

    private String requiredValue(String key) {
        String value = valueByPath.get(key);
        if (value == null) {
            throw new IllegalArgumentException("settings lack " + key);
        }
        return value;
    }

    private double readNumber(String key) {
        String value = requiredValue(key);
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("settings: " + key + " is not a number: " + value, e);
        }
    }

    private double readNumber(String key, double defaultValue) {
        return valueByPath.containsKey(key) ? readNumber(key) : defaultValue;
    }

    private long readWholeNumber(String key) {
        return (long) readNumber(key);
    }

    private boolean readFlag(String key) {
        return valueByPath.containsKey(key) && readChoice(key, FLAG_BY_NAME);
    }

    private <T> T readChoice(String key, Map<String, T> choices) {
        String value = requiredValue(key);
        T choice = choices.get(value);
        if (choice == null) {
            throw new IllegalArgumentException("settings: " + key + " has an unknown value: " + value);
        }
        return choice;
    }
}
