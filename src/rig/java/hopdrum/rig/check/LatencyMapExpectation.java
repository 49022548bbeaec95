package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Rule "map": how far the latency estimates that doors log are from the delays that the rig injects. */
final class LatencyMapExpectation {
    private static final double LEAST_ONE_WAY_MS = 1; // below, the machine's own delays are the larger part
    private static final double DEFAULT_ERROR = 0.1;

    private final TrialLogs logs;
    private final TrialReport report;

    LatencyMapExpectation(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    /** "map": from the limit on, for so long, the median error of all estimates that doors log is at most so large. */
    void check(Expectation expectation) {
        List<Double> errors = new ArrayList<>();
        for (List<LogEntry> log : logs.doors().values()) {
            for (LogEntry estimate : log) {
                if (estimate.is("map") && estimate.isWithin(expectation.withinUs(), expectation.untilUs())) {
                    addErrors(estimate, errors);
                }
            }
        }
        errors.sort(null);
        double median = errors.isEmpty() ? Double.POSITIVE_INFINITY : Percentiles.of(errors, 50);
        if (!errors.isEmpty()) {
            report.measure(String.format(
                    Locale.ROOT,
                    "error of the map from %s on, %d ways: median %.3f, p90 %.3f",
                    report.seconds(expectation.withinUs()),
                    errors.size(),
                    median,
                    Percentiles.of(errors, 90)));
        }
        if (median > expectation.arguments().path("error").asDouble(DEFAULT_ERROR)) {
            report.violation(
                    "map",
                    expectation.withinUs(),
                    String.format(Locale.ROOT, "the median error of %d ways is %.3f", errors.size(), median));
        }
    }

    /** The relative error of each estimated round trip, against the injected delay of that moment. */
    private void addErrors(LogEntry estimate, List<Double> errors) {
        JsonNode injected = injectedAt(estimate.atUs());
        for (Map.Entry<String, JsonNode> way : estimate.field("ways").properties()) {
            double oneWayMs =
                    injected.path(estimate.text("site") + "-" + way.getKey()).asDouble();
            if (oneWayMs >= LEAST_ONE_WAY_MS) {
                double roundTripUs = way.getValue().path(0).asDouble();
                errors.add(Math.abs(roundTripUs / 2_000 - oneWayMs) / oneWayMs);
            }
        }
    }

    /** The delays between sites at a moment, one way, in milliseconds. */
    private JsonNode injectedAt(long atUs) {
        JsonNode latest = MissingNode.getInstance();
        for (LogEntry entry : logs.rig()) {
            if (entry.is("distances") && entry.atUs() <= atUs) {
                latest = entry.field("one_way_ms");
            }
        }
        return latest;
    }
}
