package hopdrum.rig.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Collects the results of checking one trial: violated rules and measurements. Confined to the checking thread. */
public final class TrialReport {
    /** One violation of a rule. */
    private record Violation(String rule, long atUs, String description) {}

    private final long beginUs;
    private final List<Violation> violations = new ArrayList<>();
    private final List<String> measurements = new ArrayList<>();

    /** Creates an empty report whose times are printed relative to {@code beginUs}, the begin of the trial. */
    TrialReport(long beginUs) {
        this.beginUs = beginUs;
    }

    void addViolation(String rule, long atUs, String description) {
        violations.add(new Violation(rule, atUs, description));
    }

    void addMeasurement(String measurement) {
        measurements.add(measurement);
    }

    /** Formats a time as seconds since the begin of the trial. */
    String formatTime(long atUs) {
        return String.format(Locale.ROOT, "%.2f s", (atUs - beginUs) / 1e6);
    }

    /** Returns the earliest violation as {@code RULE at TIME: DESCRIPTION}; empty if all rules were kept. */
    public Optional<String> firstViolation() {
        return violations.stream()
                .min(Comparator.comparingLong(Violation::atUs))
                .map(first -> first.rule + " at " + formatTime(first.atUs) + ": " + first.description);
    }

    /** Returns the sorted names of all violated rules, which docs/trials.md describes. */
    public Set<String> violatedRules() {
        Set<String> rules = new TreeSet<>();
        violations.forEach(violation -> rules.add(violation.rule));
        return rules;
    }

    /** Returns the measurements in the order in which they were taken, one line each. */
    public List<String> measurements() {
        return List.copyOf(measurements);
    }
}
