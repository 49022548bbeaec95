package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.HttpReader.ascii;

import hopdrum.host.Outcome;
import java.util.List;
import java.util.Map;

/** What a backend's whole answer means. */
public final class BackendAnswer {
    private static final byte[] NEVER_RAN = ascii("x-never-ran");
    private static final byte[] ONE = ascii("1");
    private static final byte[] LOAD = ascii("endpoint-load-metrics");
    private static final float[] NO_REPORT = {};
    // Reports name their values in one way, settings in another.
    private static final Map<String, String> NAMES = Map.of("inflight", "concurrent", "queue", "depth",
            "util", "load_share", "latency_ms", "mean_ms", "qps", "tps", "eps", "err_ps");

    private BackendAnswer() {
    }

    public static Outcome outcome(Ring ring, HttpReader in) {
        if (in.status() == 200) {
            return Outcome.OK;
        }
        if (in.status() == 503 || in.status() == 504) {
            int field = in.field(ring, NEVER_RAN);
            if (field >= 0 && ring.matches(in.valueFrom(field), in.valueTo(field), ONE)) {
                return Outcome.FULL;
            }
        }
        return Outcome.ERROR;
    }

    /** The load report, in the order of the settings' fields; empty if there is none or it lacks one of them. */
    public static float[] report(Ring ring, HttpReader in, List<String> wanted) {
        int field = in.field(ring, LOAD);
        if (field < 0 || wanted.isEmpty()) {
            return NO_REPORT;
        }
        String text = ring.text(in.valueFrom(field), in.valueTo(field));
        float[] report = new float[wanted.size()];
        int found = 0;
        for (String part : text.substring(text.indexOf(' ') + 1).split(",")) {
            int eq = part.indexOf('=');
            String name = eq < 0 ? "" : part.substring(0, eq).strip();
            int place = wanted.indexOf(name) >= 0 ? wanted.indexOf(name) : wanted.indexOf(NAMES.get(name));
            if (place >= 0) {
                try {
                    report[place] = Float.parseFloat(part.substring(eq + 1));
                    found++;
                } catch (NumberFormatException e) {
                    return NO_REPORT;
                }
            }
        }
        return found == wanted.size() ? report : NO_REPORT;
    }
}
