package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Checks the rule "map": how far the latency estimates that front doors log are from the delays that the rig injects.
 */
final class LatencyMapExpectation {
    private static final double MIN_ONE_WAY_MS = 1; // below 1 ms, the machine's own delays dominate
    private static final double DEFAULT_MAX_MEDIAN_ERROR = 0.1;

    private final TrialLogs logs;
    private final TrialReport report;

    LatencyMapExpectation(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    /**
     * Rule "map": the median relative error of all estimates that front doors log, from the deadline to the end of the
     * period, does not exceed the stated error.
     */
    void check(Expectation expectation) {
        List<Double> errors = new ArrayList<>();
        for (List<LogEntry> log : logs.frontDoorLogs().values()) {
            for (LogEntry estimate : log) {
                if (estimate.hasEvent("map")
                        && estimate.isWithin(expectation.deadlineUs(), expectation.periodEndUs())) {
                    addErrors(estimate, errors);
                }
            }
        }
        errors.sort(null);
        double median = errors.isEmpty() ? Double.POSITIVE_INFINITY : Percentiles.of(errors, 50);
        if (!errors.isEmpty()) {
            report.addMeasurement(String.format(
                    Locale.ROOT,
                    "error of the latency map from %s on, %d paths: median %.3f, p90 %.3f",
                    report.formatTime(expectation.deadlineUs()),
                    errors.size(),
                    median,
                    Percentiles.of(errors, 90)));
        }
        if (median > expectation.arguments().path("error").asDouble(DEFAULT_MAX_MEDIAN_ERROR)) {
            report.addViolation(
                    "map",
                    expectation.deadlineUs(),
                    String.format(Locale.ROOT, "the median error of %d paths is %.3f", errors.size(), median));
        }
    }

    /** Adds the relative error of each estimated round trip against the delay injected at the time of the estimate. */
    private void addErrors(LogEntry estimate, List<Double> errors) {
        JsonNode injectedDelays = injectedDelaysAt(estimate.atUs());
        for (Map.Entry<String, JsonNode> path : estimate.field("ways").properties()) {
            double oneWayMs = injectedDelays
                    .path(estimate.text("site") + "-" + path.getKey())
                    .asDouble();
            if (oneWayMs >= MIN_ONE_WAY_MS) {
                double roundTripUs = path.getValue().path(0).asDouble();
                errors.add(Math.abs(roundTripUs / 2_000 - oneWayMs) / oneWayMs);
            }
        }
    }

    /**
     * Returns the one-way delays between sites injected at a time, in milliseconds; a missing node if none are logged.
     */
    private JsonNode injectedDelaysAt(long atUs) {
        JsonNode latest = MissingNode.getInstance();
        for (LogEntry entry : logs.rigLog()) {
            if (entry.hasEvent("distances") && entry.atUs() <= atUs) {
                latest = entry.field("one_way_ms");
            }
        }
        return latest;
    }
}
