package hopdrum.rig.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** What the check of one trial found: violated rules and measurements. Confined to the checking thread. */
public final class TrialReport {
    /** One violated rule. */
    private record Violation(String rule, long atUs, String description) {}

    private final long beginUs;
    private final List<Violation> violations = new ArrayList<>();
    private final List<String> measurements = new ArrayList<>();

    /** Times are reported relative to the trial's begin. */
    TrialReport(long beginUs) {
        this.beginUs = beginUs;
    }

    void violation(String rule, long atUs, String description) {
        violations.add(new Violation(rule, atUs, description));
    }

    void measure(String measurement) {
        measurements.add(measurement);
    }

    /** A moment as seconds since the trial's begin, as it is printed. */
    String seconds(long atUs) {
        return String.format(Locale.ROOT, "%.2f s", (atUs - beginUs) / 1e6);
    }

    /** The earliest violation as {@code RULE at TIME: DESCRIPTION}; empty if all rules were kept. */
    public Optional<String> firstViolation() {
        return violations.stream()
                .min(Comparator.comparingLong(Violation::atUs))
                .map(first -> first.rule + " at " + seconds(first.atUs) + ": " + first.description);
    }

    /** The names of all violated rules, sorted; docs/trials.md lists them. */
    public Set<String> violatedRules() {
        Set<String> rules = new TreeSet<>();
        violations.forEach(violation -> rules.add(violation.rule));
        return rules;
    }

    /** Measurements in the order in which they were taken, one line each. */
    public List<String> measurements() {
        return List.copyOf(measurements);
    }
}
