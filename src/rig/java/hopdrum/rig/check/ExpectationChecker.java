package hopdrum.rig.check;

/** Checks the expectations of the trial file's steps, in the order in which the rig logged them. */
final class ExpectationChecker {
    private final TrialLogs logs;
    private final ViewExpectations viewExpectations;
    private final LoadExpectations loadExpectations;
    private final LatencyMapExpectation latencyMapExpectation;
    private final ShardExpectations shards;

    ExpectationChecker(TrialLogs logs, ShardHistory shards, TrialReport report) {
        this.logs = logs;
        this.viewExpectations = new ViewExpectations(logs, report);
        this.loadExpectations = new LoadExpectations(logs, report);
        this.latencyMapExpectation = new LatencyMapExpectation(logs, report);
        this.shards = new ShardExpectations(logs, shards, report);
    }

    void check() {
        logs.rigLog().stream()
                .filter(entry -> entry.hasEvent("step"))
                .map(Expectation::of)
                .forEach(this::check);
    }

    private void check(Expectation expectation) {
        switch (expectation.kind()) {
            case "expect_settled" -> viewExpectations.checkSettled(expectation, true);
            case "expect_same_view" -> viewExpectations.checkSettled(expectation, false);
            case "expect_cut_off" -> viewExpectations.checkLogged(expectation, "cut_off", "cut off");
            case "expect_refused" -> viewExpectations.checkLogged(expectation, "refused", "refused");
            case "expect_unchanged" -> viewExpectations.checkUnchanged(expectation);
            case "expect_not_dropped" -> viewExpectations.checkNotDropped(expectation);
            case "expect_answered" -> loadExpectations.checkAnswered(expectation);
            case "expect_in_time" -> loadExpectations.checkInTime(expectation);
            case "expect_shares" -> shards.checkShares(expectation);
            case "expect_owned" -> shards.checkOwned(expectation);
            case "expect_refusal" -> shards.checkRefusal(expectation);
            case "expect_map" -> latencyMapExpectation.check(expectation);
            default -> {} // an injected fault, which states no expectation
        }
    }
}
