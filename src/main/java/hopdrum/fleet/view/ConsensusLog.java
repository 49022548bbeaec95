package hopdrum.fleet.view;

import hopdrum.fleet.message.Ballot;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.View;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Logs the consensus events of the decision log. The trial checker reads the names and keys of these events. */
final class ConsensusLog {
    /** How this member learned of a settled view. */
    enum Source {
        STORE("kept"),
        OWN_PROPOSAL("agreed"),
        PEER("told");

        private final String loggedName;

        Source(String loggedName) {
            this.loggedName = loggedName;
        }
    }

    private final DecisionLog log;

    ConsensusLog(DecisionLog log) {
        this.log = log;
    }

    void proposed(View value, Ballot ballot) {
        log.event(
                "proposes",
                "era",
                value.era(),
                "number",
                value.number(),
                "ballot",
                ballot.round(),
                "members",
                startsOf(value));
    }

    void proposalFailed(Ballot ballot, int promises, int acceptances, int quorum) {
        log.event(
                "proposal_failed",
                "ballot",
                ballot.round(),
                "promised",
                promises,
                "accepted",
                acceptances,
                "needed",
                quorum);
    }

    void accepted(View value, Ballot ballot, long voter) {
        log.event(
                "accepted",
                "era",
                value.era(),
                "number",
                value.number(),
                "ballot",
                ballot.round(),
                "proposer",
                ballot.proposer(),
                "members",
                startsOf(value),
                "voter",
                voter);
    }

    void rejected(long presentEra, View value, String violation) {
        log.event("objects", "era", presentEra, "number", value.number(), "why", violation);
    }

    void settled(View view, Source source) {
        Map<String, Long> starts = new LinkedHashMap<>();
        Map<String, Long> voters = new HashMap<>();
        for (Member member : view.members()) {
            starts.put(member.name(), member.start());
            voters.put(member.name(), member.voter());
        }
        log.event(
                "view",
                "era",
                view.era(),
                "number",
                view.number(),
                "members",
                starts,
                "voters",
                voters,
                "how",
                source.loggedName);
    }

    void eraChanged(long before, long now) {
        log.event("another_era", "before", before, "now", now);
    }

    void superseded(long laterStart) {
        log.event("superseded", "by", laterStart);
    }

    private static List<String> startsOf(View view) {
        return view.members().stream()
                .map(member -> member.name() + "/" + member.start())
                .toList();
    }
}
