package hopdrum.rig.check;

/** Checks what the trial file's steps expect, in the order in which their times came. */
final class ExpectationChecker {
    private final TrialLogs logs;
    private final ViewExpectations views;
    private final LoadExpectations load;
    private final LatencyMapExpectation latencyMap;
    private final ShardExpectations shards;

    ExpectationChecker(TrialLogs logs, ShardHistory shards, TrialReport report) {
        this.logs = logs;
        this.views = new ViewExpectations(logs, report);
        this.load = new LoadExpectations(logs, report);
        this.latencyMap = new LatencyMapExpectation(logs, report);
        this.shards = new ShardExpectations(logs, shards, report);
    }

    void check() {
        logs.rig().stream()
                .filter(entry -> entry.is("step"))
                .map(Expectation::of)
                .forEach(this::check);
    }

    private void check(Expectation expectation) {
        switch (expectation.kind()) {
            case "expect_settled" -> views.checkSettled(expectation, true);
            case "expect_same_view" -> views.checkSettled(expectation, false);
            case "expect_cut_off" -> views.checkLogged(expectation, "cut_off", "cut off");
            case "expect_refused" -> views.checkLogged(expectation, "refused", "refused");
            case "expect_unchanged" -> views.checkUnchanged(expectation);
            case "expect_not_dropped" -> views.checkNotDropped(expectation);
            case "expect_answered" -> load.checkAnswered(expectation);
            case "expect_in_time" -> load.checkInTime(expectation);
            case "expect_shares" -> shards.checkShares(expectation);
            case "expect_owned" -> shards.checkOwned(expectation);
            case "expect_refusal" -> shards.checkRefusal(expectation);
            case "expect_map" -> latencyMap.check(expectation);
            default -> {} // a fault that was injected: nothing to check
        }
    }
}
