package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import hopdrum.host.Outcome;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** What the complete response of a backend, or of a front door of another tier, means for its attempt. */
public final class BackendResponse {
    private static final byte[] NEVER_RAN = ascii("x-never-ran");
    private static final byte[] ONE = ascii("1");
    private static final byte[] LOAD_METRICS = ascii("endpoint-load-metrics");
    private static final float[] NO_REPORT = {};
    // Reports name their metrics in one way, settings in another.
    private static final Map<String, String> SETTINGS_NAMES = Map.of(
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

    /** How an attempt ended by the response of its backend. */
    public static Outcome outcome(RingBuffer ring, HttpReader response) {
        int status = response.status();
        if (status == 200) {
            return Outcome.OK;
        }
        if (status == 503 || status == 504) {
            HeaderFields fields = response.fields();
            int field = fields.find(ring, NEVER_RAN);
            if (field >= 0 && ring.matches(fields.valueFrom(field), fields.valueTo(field), ONE)) {
                return Outcome.AT_CAPACITY;
            }
        }
        // Rejected for what it is: nothing ran, and neither this backend is to blame nor would another take it.
        return isClientError(status) ? Outcome.INVALID_REQUEST : Outcome.ERROR;
    }

    /**
     * How an attempt ended by the response of a front door of another tier, whose response is final: a rejection says
     * that nothing ran, and is nobody's fault.
     */
    public static Outcome partnerOutcome(HttpReader response) {
        int status = response.status();
        if (status == 200) {
            return Outcome.OK;
        }
        return status == 503 || isClientError(status) ? Outcome.INVALID_REQUEST : Outcome.ERROR;
    }

    private static boolean isClientError(int status) {
        return status >= 400 && status < 500;
    }

    /**
     * The load report of a response.
     *
     * @param wanted the settings' names of the metrics
     * @return their values in the same order; empty if there is no report, or a value is missing or unusable
     */
    public static float[] loadReport(RingBuffer ring, HttpReader response, List<String> wanted) {
        HeaderFields fields = response.fields();
        int field = fields.find(ring, LOAD_METRICS);
        if (field < 0 || wanted.isEmpty()) {
            return NO_REPORT;
        }
        String text = ring.text(fields.valueFrom(field), fields.valueTo(field));
        float[] report = new float[wanted.size()];
        Arrays.fill(report, Float.NaN);
        for (String metric : text.substring(text.indexOf(' ') + 1).split(",", 0)) {
            int equals = metric.indexOf('=');
            String name = equals < 0 ? "" : metric.substring(0, equals).strip();
            int index = wanted.indexOf(name);
            if (index < 0) {
                index = wanted.indexOf(SETTINGS_NAMES.getOrDefault(name, ""));
            }
            if (index >= 0) {
                report[index] = value(metric.substring(equals + 1).strip());
            }
        }
        for (float value : report) {
            if (Float.isNaN(value)) {
                return NO_REPORT;
            }
        }
        return report;
    }

    /** A metric's value, which is finite and not below 0; else not a number. */
    private static float value(String text) {
        try {
            float value = Float.parseFloat(text);
            return value >= 0 && value < Float.POSITIVE_INFINITY ? value : Float.NaN;
        } catch (NumberFormatException e) {
            return Float.NaN;
        }
    }
}
