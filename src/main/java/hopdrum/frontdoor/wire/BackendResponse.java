package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.HttpReader.ascii;

import hopdrum.host.Outcome;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** What a backend's whole answer means. */
public final class BackendResponse {
    private static final byte[] NEVER_RAN = ascii("x-never-ran");
    private static final byte[] ONE = ascii("1");
    private static final byte[] LOAD = ascii("endpoint-load-metrics");
    private static final float[] NO_REPORT = {};
    // Reports name their values in one way, settings in another.
    private static final Map<String, String> NAMES = Map.of(
            "inflight",
            "concurrent",
            "queue",
            "depth",
            "util",
            "load_share",
            "latency_ms",
            "mean_ms",
            "qps",
            "tps",
            "eps",
            "err_ps");

    private BackendResponse() {}

    public static Outcome outcome(RingBuffer ring, HttpReader in) {
        if (in.status() == 200) {
            return Outcome.OK;
        }
        if (in.status() == 503 || in.status() == 504) {
            int field = in.field(ring, NEVER_RAN);
            if (field >= 0 && ring.matches(in.valueFrom(field), in.valueTo(field), ONE)) {
                return Outcome.AT_CAPACITY;
            }
        }
        // Turned away for what it is: nothing ran, and neither this backend is to blame nor would another take it.
        return in.status() >= 400 && in.status() < 500 ? Outcome.INVALID_REQUEST : Outcome.ERROR;
    }

    /** Of a front door of another tier, whose answer is final: a refusal says that nothing ran, and is nobody's fault. */
    public static Outcome outcomeOfDoor(HttpReader in) {
        return in.status() == 200
                ? Outcome.OK
                : in.status() == 503 || (in.status() >= 400 && in.status() < 500)
                        ? Outcome.INVALID_REQUEST
                        : Outcome.ERROR;
    }

    /** The load report, in the order of the settings' fields; empty if there is none or it lacks one of them. */
    public static float[] report(RingBuffer ring, HttpReader in, List<String> wanted) {
        int field = in.field(ring, LOAD);
        if (field < 0 || wanted.isEmpty()) {
            return NO_REPORT;
        }
        String text = ring.text(in.valueFrom(field), in.valueTo(field));
        float[] report = new float[wanted.size()];
        Arrays.fill(report, Float.NaN);
        for (String part : text.substring(text.indexOf(' ') + 1).split(",")) {
            int eq = part.indexOf('=');
            String name = eq < 0 ? "" : part.substring(0, eq).strip();
            int place = wanted.indexOf(name) >= 0 ? wanted.indexOf(name) : wanted.indexOf(NAMES.getOrDefault(name, ""));
            if (place >= 0) {
                report[place] = figure(part.substring(eq + 1).strip());
            }
        }
        for (float figure : report) {
            if (Float.isNaN(figure)) {
                return NO_REPORT; // one that is spoilt, or lacks a figure, is no report
            }
        }
        return report;
    }

    /** A figure that is finite and not below 0, else not a number. */
    private static float figure(String text) {
        try {
            float figure = Float.parseFloat(text);
            return figure >= 0 && figure < Float.POSITIVE_INFINITY ? figure : Float.NaN;
        } catch (NumberFormatException e) {
            return Float.NaN;
        }
    }
}
