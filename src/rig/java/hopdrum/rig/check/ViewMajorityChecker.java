package hopdrum.rig.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Rule "majority": each view was accepted, in one ballot, by a majority of the voters of the view before it; the first by
 * all founders.
 */
final class ViewMajorityChecker {
    private static final String RULE = "majority";

    /** A member and the voter identity under which it accepted. */
    private record Vote(String name, String voter) {}

    /** What was voted on: the ballot and its content. */
    private record Proposal(String ballot, String proposer, String members) {}

    /** Who may vote on a view, and how many of them must. */
    private record Electorate(Predicate<Vote> mayVote, int quorum) {}

    private final TrialLogs logs;
    private final TrialReport report;
    private final Map<Version, Map<Proposal, Set<Vote>>> votes = new HashMap<>();
    private final Map<Version, Set<Vote>> voters = new HashMap<>();
    private final Map<Version, LogEntry> firstSeen = new LinkedHashMap<>();

    ViewMajorityChecker(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    void check() {
        logs.doors().values().forEach(this::collect);
        firstSeen.values().forEach(this::check);
    }

    private void collect(List<LogEntry> log) {
        for (LogEntry entry : log) {
            if (entry.is("accepted")) {
                Proposal proposal = new Proposal(
                        entry.field("ballot").toString(),
                        entry.text("proposer"),
                        entry.field("members").toString());
                votes.computeIfAbsent(entry.version(), version -> new HashMap<>())
                        .computeIfAbsent(proposal, key -> new HashSet<>())
                        .add(new Vote(entry.text("name"), entry.text("voter")));
            } else if (entry.is("view")) {
                voters.putIfAbsent(entry.version(), votersOf(entry));
                if (!entry.text("how").equals("kept")) { // one read from the store was settled before
                    firstSeen.merge(entry.version(), entry, LogEntry::earlier);
                }
            }
        }
    }

    private static Set<Vote> votersOf(LogEntry view) {
        Set<Vote> voters = new HashSet<>();
        view.field("voters")
                .properties()
                .forEach(voter ->
                        voters.add(new Vote(voter.getKey(), voter.getValue().asText())));
        return voters;
    }

    private void check(LogEntry view) {
        Electorate electorate = electorateOf(view.version());
        if (electorate == null) {
            report.violation(
                    RULE, view.atUs(), view.text("name") + ": " + view.version() + " follows a view that nobody had");
            return;
        }
        long most = votes.getOrDefault(view.version(), Map.of()).values().stream()
                .mapToLong(cast -> cast.stream().filter(electorate.mayVote).count())
                .max()
                .orElse(0);
        if (most < electorate.quorum) {
            report.violation(
                    RULE,
                    view.atUs(),
                    view.text("name") + ": " + view.version() + " has " + most + " votes in one ballot, "
                            + electorate.quorum + " were needed");
        }
    }

    /** Null if the view before is unknown. */
    private Electorate electorateOf(Version version) {
        if (version.number() == 1) {
            Set<String> founders = logs.setup().founders();
            return new Electorate(vote -> founders.contains(vote.name), founders.size());
        }
        Set<Vote> entitled = voters.get(version.predecessor());
        return entitled == null ? null : new Electorate(entitled::contains, entitled.size() / 2 + 1);
    }
}
