package hopdrum.host;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads settings, given as pairs of path and value, into Settings; skips keys it does not know, names those it lacks. */
public final class SettingsReader {
    private final Map<String, String> pairs;

    private SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    public static Settings read(Map<String, String> pairs) {
        return new SettingsReader(pairs).settings();
    }

    private Settings settings() {
        List<Method> methods = new ArrayList<>();
        for (int i = 0; i < number("Lanes.count"); i++) {
            String at = "Lanes." + i + ".";
            Method.RetrySafety repeat = choice(
                    at + "Effect",
                    Map.of(
                            "retryable",
                            Method.RetrySafety.IDEMPOTENT,
                            "dedup",
                            Method.RetrySafety.DEDUPLICATED,
                            "fragile",
                            Method.RetrySafety.NON_IDEMPOTENT));
            boolean dedup = repeat == Method.RetrySafety.DEDUPLICATED;
            methods.add(new Method(
                    whole(at + "AimUs"),
                    whole(at + "GiveUpUs"),
                    repeat,
                    dedup
                            ? choice(
                                    at + "Group",
                                    Map.of(
                                            "all",
                                            Method.DeduplicationScope.ALL,
                                            "zone",
                                            Method.DeduplicationScope.ZONE,
                                            "cell",
                                            Method.DeduplicationScope.CELL))
                            : Method.DeduplicationScope.ALL,
                    dedup ? whole(at + "WindowUs") : 0,
                    number(at + "LateWorth", 0),
                    flag(at + "Stream", false)));
        }
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < number("Packages.count", 0); i++) {
            String at = "Packages." + i + ".";
            plans.add(new Plan(
                    number(at + "PerSecond", 0),
                    number(at + "Burst", 0),
                    (int) number(at + "Concurrency", 0),
                    number(at + "CapRate", 0),
                    number(at + "CeilingBurst", 0),
                    number(at + "CapSlack", 0)));
        }
        String weights = pairs.getOrDefault("Weights", "none");
        return new Settings(
                (int) whole("NInstances"),
                (int) whole("Ordinal"),
                whole("TickUs"),
                methods,
                plans,
                flag("FamilyInfo.MayCount", false),
                (long) number("FamilyInfo.CountWaitUs", 0),
                flag("Bounds.Peers", false),
                flag("FamilyInfo.Settles", false),
                (int) whole("Bounds.AttemptsCap"),
                flag("Bounds.Cancel", false),
                flag("Bounds.RetryAfter", false),
                (long) number("Bounds.MaxRetryAfterUs", 0),
                flag("Bounds.SecondCopies", false),
                pairs.getOrDefault("RegistryMode", "push").equals("ask"),
                weights.equals("nominal") || weights.equals("rough"),
                List.of(pairs.getOrDefault("Report.Fields", "").split(",")),
                number("Rules.ColdFrom"),
                whole("Rules.WarmAfterUs"),
                number("Rules.OverloadFactor"),
                whole("Rules.FallUs"));
    }

    private String needed(String key) {
        String value = pairs.get(key);
        if (value == null) {
            throw new IllegalArgumentException("settings lack " + key);
        }
        return value;
    }

    private double number(String key) {
        try {
            return Double.parseDouble(needed(key));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("settings: " + key + " is no number: " + pairs.get(key), e);
        }
    }

    private double number(String key, double absent) {
        return pairs.containsKey(key) ? number(key) : absent;
    }

    private long whole(String key) {
        return (long) number(key);
    }

    private boolean flag(String key, boolean absent) {
        if (!pairs.containsKey(key)) {
            return absent;
        }
        return choice(key, Map.of("true", true, "false", false));
    }

    private <T> T choice(String key, Map<String, T> values) {
        T value = values.get(needed(key));
        if (value == null) {
            throw new IllegalArgumentException("settings: " + key + " is not known: " + pairs.get(key));
        }
        return value;
    }
}
