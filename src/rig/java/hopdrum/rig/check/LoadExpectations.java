package hopdrum.rig.check;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Rules "share" and "in_time": what a trial expects of the answers to its clients. */
final class LoadExpectations {
    private final TrialLogs logs;
    private final TrialReport report;

    LoadExpectations(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    /** "share": of the RPCs sent meanwhile, so large a part is answered with 200. */
    void checkAnswered(Expectation expectation) {
        List<RpcOutcome> rpcs = logs.rpcs().stream()
                .filter(rpc -> rpc.isSentWithin(expectation.atUs(), expectation.untilUs()))
                .toList();
        double share = share(rpcs.stream().filter(RpcOutcome::isOk).count(), rpcs.size());
        report.measure(String.format(
                Locale.ROOT, "share answered with 200 from %s: %.3f", report.seconds(expectation.atUs()), share));
        if (share < wantedShare(expectation)) {
            report.violation(
                    "share",
                    expectation.untilUs(),
                    String.format(Locale.ROOT, "%.3f of %d RPCs were answered with 200", share, rpcs.size()));
        }
    }

    /** "in_time": of the RPCs sent meanwhile that were not beyond a quota, so large a part has its 200 within the soft deadline. */
    void checkInTime(Expectation expectation) {
        List<RpcOutcome> rpcs = logs.rpcs().stream()
                .filter(rpc -> rpc.isSentWithin(expectation.atUs(), expectation.untilUs())
                        && !rpc.status().equals("429"))
                .toList();
        List<Long> tookUs = rpcs.stream()
                .filter(RpcOutcome::isOk)
                .map(RpcOutcome::tookUs)
                .sorted()
                .toList();
        long softDeadlineUs = logs.setup().deadlineUs() / 2;
        long inTime = tookUs.stream().filter(us -> us <= softDeadlineUs).count();
        double share = share(inTime, rpcs.size());
        report.measure(String.format(
                Locale.ROOT,
                "from %s for %.0f s: %d RPCs, in time %.3f, p50 %.1f ms, p99 %.1f ms, %s",
                report.seconds(expectation.atUs()),
                (expectation.untilUs() - expectation.atUs()) / 1e6,
                rpcs.size(),
                share,
                Percentiles.millis(tookUs, 50),
                Percentiles.millis(tookUs, 99),
                placement(rpcs)));
        if (share < wantedShare(expectation)) {
            report.violation(
                    "in_time",
                    expectation.untilUs(),
                    String.format(Locale.ROOT, "%.3f of %d RPCs were in time", share, rpcs.size()));
        }
    }

    /** At which sites these RPCs ran, and which part at another than their door's. */
    private String placement(List<RpcOutcome> rpcs) {
        Map<String, String> doorSites = new HashMap<>();
        rpcs.forEach(rpc -> doorSites.put(rpc.id(), logs.setup().siteOf(rpc.door())));
        int crossed = 0;
        Map<String, Integer> bySite = new TreeMap<>();
        for (Execution execution : logs.executions()) {
            String doorSite = doorSites.get(execution.rpc());
            if (doorSite != null) {
                bySite.merge(execution.site(), 1, Integer::sum);
                crossed += doorSite.equals(execution.site()) ? 0 : 1;
            }
        }
        return String.format(Locale.ROOT, "crossed %.3f, by site %s", share(crossed, rpcs.size()), bySite);
    }

    private static double share(long part, int all) {
        return all == 0 ? 0 : (double) part / all;
    }

    private static double wantedShare(Expectation expectation) {
        return expectation.arguments().path("share").asDouble();
    }
}
