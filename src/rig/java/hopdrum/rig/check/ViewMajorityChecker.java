package hopdrum.rig.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Checks the rule "majority": each view was accepted, in one ballot, by a majority of the voters of the preceding view.
 * The first view of an era was accepted by all founders.
 */
final class ViewMajorityChecker {
    private static final String RULE = "majority";

    /** A member that accepted a proposal, and the voter identity under which it did. */
    private record Vote(String name, String voter) {}

    /** A proposal that members vote on: the ballot, its proposer and the proposed members. */
    private record Proposal(String ballot, String proposer, String members) {}

    /** The members that may vote on a view, and how many of them must accept it. */
    private record Electorate(Predicate<Vote> mayVote, int quorum) {}

    private final TrialLogs logs;
    private final TrialReport report;
    private final Map<Version, Map<Proposal, Set<Vote>>> votesByVersion = new HashMap<>();
    private final Map<Version, Set<Vote>> votersByVersion = new HashMap<>();
    private final Map<Version, LogEntry> firstLogged = new LinkedHashMap<>();

    ViewMajorityChecker(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    void check() {
        logs.frontDoorLogs().values().forEach(this::collect);
        firstLogged.values().forEach(this::check);
    }

    private void collect(List<LogEntry> log) {
        for (LogEntry entry : log) {
            if (entry.hasEvent("accepted")) {
                Proposal proposal = new Proposal(
                        entry.field("ballot").toString(),
                        entry.text("proposer"),
                        entry.field("members").toString());
                votesByVersion
                        .computeIfAbsent(entry.version(), version -> new HashMap<>())
                        .computeIfAbsent(proposal, key -> new HashSet<>())
                        .add(new Vote(entry.text("name"), entry.text("voter")));
            } else if (entry.hasEvent("view")) {
                votersByVersion.putIfAbsent(entry.version(), votersOf(entry));
                if (!entry.text("how").equals("kept")) { // a view read from the store was settled before
                    firstLogged.merge(entry.version(), entry, LogEntry::earlier);
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
            report.addViolation(
                    RULE,
                    view.atUs(),
                    view.text("name") + ": " + view.version() + " follows a view that no front door logged");
            return;
        }
        long mostVotes = votesByVersion.getOrDefault(view.version(), Map.of()).values().stream()
                .mapToLong(votesOfProposal ->
                        votesOfProposal.stream().filter(electorate.mayVote).count())
                .max()
                .orElse(0);
        if (mostVotes < electorate.quorum) {
            report.addViolation(
                    RULE,
                    view.atUs(),
                    view.text("name") + ": " + view.version() + " has at most " + mostVotes + " votes in one ballot, "
                            + electorate.quorum + " were needed");
        }
    }

    /** Returns the electorate of a view; null if no front door logged the preceding view. */
    private Electorate electorateOf(Version version) {
        if (version.number() == 1) {
            Set<String> founders = logs.setup().founders();
            return new Electorate(vote -> founders.contains(vote.name), founders.size());
        }
        Set<Vote> previousVoters = votersByVersion.get(version.predecessor());
        return previousVoters == null ? null : new Electorate(previousVoters::contains, previousVoters.size() / 2 + 1);
    }
}
