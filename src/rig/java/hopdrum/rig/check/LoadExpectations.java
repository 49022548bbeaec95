package hopdrum.rig.check;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Checks the rules "share" and "in_time": what a trial expects of the responses to its clients. */
final class LoadExpectations {
    private final TrialLogs logs;
    private final TrialReport report;

    LoadExpectations(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    /** Rule "share": at least the expected share of the requests sent in the period is answered with status 200. */
    void checkAnswered(Expectation expectation) {
        List<RequestOutcome> requests = logs.requests().stream()
                .filter(request -> request.isSentWithin(expectation.atUs(), expectation.periodEndUs()))
                .toList();
        double share = share(requests.stream().filter(RequestOutcome::isOk).count(), requests.size());
        report.addMeasurement(String.format(
                Locale.ROOT, "share answered with 200 from %s: %.3f", report.formatTime(expectation.atUs()), share));
        if (share < expectedShare(expectation)) {
            report.addViolation(
                    "share",
                    expectation.periodEndUs(),
                    String.format(Locale.ROOT, "%.3f of %d requests were answered with 200", share, requests.size()));
        }
    }

    /**
     * Rule "in_time": of the requests sent in the period that were not rejected with 429, at least the expected share
     * is answered with status 200 within the soft deadline, which is half the deadline.
     */
    void checkInTime(Expectation expectation) {
        List<RequestOutcome> requests = logs.requests().stream()
                .filter(request -> request.isSentWithin(expectation.atUs(), expectation.periodEndUs())
                        && !request.status().equals("429"))
                .toList();
        List<Long> tookUs = requests.stream()
                .filter(RequestOutcome::isOk)
                .map(RequestOutcome::tookUs)
                .sorted()
                .toList();
        long softDeadlineUs = logs.setup().requestDeadlineUs() / 2;
        long inTimeCount = tookUs.stream().filter(us -> us <= softDeadlineUs).count();
        double share = share(inTimeCount, requests.size());
        report.addMeasurement(String.format(
                Locale.ROOT,
                "from %s for %.0f s: %d requests, in time %.3f, p50 %.1f ms, p99 %.1f ms, %s",
                report.formatTime(expectation.atUs()),
                (expectation.periodEndUs() - expectation.atUs()) / 1e6,
                requests.size(),
                share,
                Percentiles.millis(tookUs, 50),
                Percentiles.millis(tookUs, 99),
                describePlacement(requests)));
        if (share < expectedShare(expectation)) {
            report.addViolation(
                    "in_time",
                    expectation.periodEndUs(),
                    String.format(Locale.ROOT, "%.3f of %d requests were in time", share, requests.size()));
        }
    }

    /**
     * Describes at which sites requests were executed, and the share executed at a site other than their front door's.
     */
    private String describePlacement(List<RequestOutcome> requests) {
        Map<String, String> frontDoorSites = new HashMap<>();
        requests.forEach(
                request -> frontDoorSites.put(request.id(), logs.setup().siteOf(request.frontDoor())));
        int executedElsewhere = 0;
        Map<String, Integer> executionsBySite = new TreeMap<>();
        for (Execution execution : logs.executions()) {
            String frontDoorSite = frontDoorSites.get(execution.requestId());
            if (frontDoorSite != null) {
                executionsBySite.merge(execution.site(), 1, Integer::sum);
                executedElsewhere += frontDoorSite.equals(execution.site()) ? 0 : 1;
            }
        }
        return String.format(
                Locale.ROOT,
                "executed at another site %.3f, by site %s",
                share(executedElsewhere, requests.size()),
                executionsBySite);
    }

    private static double share(long count, int total) {
        return total == 0 ? 0 : (double) count / total;
    }

    private static double expectedShare(Expectation expectation) {
        return expectation.arguments().path("share").asDouble();
    }
}
