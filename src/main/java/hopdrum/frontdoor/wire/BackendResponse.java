package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import hopdrum.host.Outcome;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Interprets the complete response of a backend, or of a partner's front door, as the result of an attempt. */
public final class BackendResponse {
    private static final byte[] NEVER_RAN = ascii("x-never-ran");
    private static final byte[] ONE = ascii("1");
    private static final byte[] LOAD_METRICS = ascii("endpoint-load-metrics");
    private static final float[] NO_REPORT = {};
    // The settings name the metrics of a load report differently from the report itself.
    private static final Map<String, String> REPORT_TO_SETTINGS_NAMES = Map.of(
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

    /** Returns the outcome of an attempt from the response of its backend. */
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
        // A 4xx status rejects the request itself: nothing ran, the backend is not at fault, and another backend would
        // reject the request too.
        return isClientError(status) ? Outcome.INVALID_REQUEST : Outcome.ERROR;
    }

    /**
     * Returns the outcome of an attempt from the response of a partner's front door. That response is final; a
     * rejection (503 or 4xx) means that nothing ran, and does not count against the partner's front door.
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
     * Returns the load report of a response.
     *
     * @param metricNames the names of the metrics, as in the settings
     * @return the values of these metrics in the same order; empty if the response has no report, or if a value is
     *     missing, not a finite number or negative
     */
    public static float[] loadReport(RingBuffer ring, HttpReader response, List<String> metricNames) {
        HeaderFields fields = response.fields();
        int field = fields.find(ring, LOAD_METRICS);
        if (field < 0 || metricNames.isEmpty()) {
            return NO_REPORT;
        }
        String text = ring.text(fields.valueFrom(field), fields.valueTo(field));
        float[] report = new float[metricNames.size()];
        Arrays.fill(report, Float.NaN);
        for (String metric : text.substring(text.indexOf(' ') + 1).split(",", 0)) {
            int equals = metric.indexOf('=');
            String name = equals < 0 ? "" : metric.substring(0, equals).strip();
            int index = metricNames.indexOf(name);
            if (index < 0) {
                index = metricNames.indexOf(REPORT_TO_SETTINGS_NAMES.getOrDefault(name, ""));
            }
            if (index >= 0) {
                report[index] = parseMetricValue(metric.substring(equals + 1).strip());
            }
        }
        for (float value : report) {
            if (Float.isNaN(value)) {
                return NO_REPORT;
            }
        }
        return report;
    }

    /** Parses the value of a metric; NaN unless the value is finite and at least 0. */
    private static float parseMetricValue(String text) {
        try {
            float value = Float.parseFloat(text);
            return value >= 0 && value < Float.POSITIVE_INFINITY ? value : Float.NaN;
        } catch (NumberFormatException e) {
            return Float.NaN;
        }
    }
}
