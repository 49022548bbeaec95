package hopdrum.fleet.shards;

import hopdrum.fleet.message.AgreementProposal;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import hopdrum.fleet.message.View;
import hopdrum.fleet.view.DecisionLog;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What operators propose to each other and say of it, as one member knows it. One member speaks for its operator: the
 * first by name of those that are there. What all parties agree to is put in force with the next view. Not thread-safe.
 */
final class AgreementNegotiation {
    private static final long KEEP_US =
            60_000_000; // an offer that its own operator has not named for so long is forgotten

    private final Member self;
    private final ShardAssignmentRule rule;
    private final DecisionLog log;
    private final Map<PartnerAgreement, AgreementProposal> offers =
            new LinkedHashMap<>(); // emptied by tick(): what is in force, old or too much
    private final Map<PartnerAgreement, Long> namedUs = new LinkedHashMap<>(); // the same
    private Terms terms = Terms.NONE;
    private PartnerAgreement notice; // that this member has given; null if none
    private PartnerAgreement countered; // what it said that it would take instead; null if none

    AgreementNegotiation(Member self, ShardAssignmentRule rule, DecisionLog log) {
        this.self = self;
        this.rule = rule;
        this.log = log;
    }

    /** What this operator wants and would agree to, from now on. */
    void follow(Terms now) {
        terms = now;
        countered = null;
        log.event(
                "terms",
                "proposes",
                now.proposes() == null ? "" : say(now.proposes()),
                "gives_notice",
                now.givesNotice());
    }

    /** What peers are told: of what this operator proposed, only what it still does. */
    List<AgreementProposal> offers() {
        return offers.values().stream()
                .filter(o -> !o.by().equals(self.operator()) || isMine(o.terms()))
                .toList();
    }

    private boolean isMine(PartnerAgreement a) {
        return a.equals(terms.proposes()) || a.equals(notice) || a.equals(countered);
    }

    /** Terms that may come in force after this view; null if there are none. */
    AgreementProposal ready(View view, long nowMs) {
        AgreementProposal first = null;
        for (AgreementProposal o : offers.values()) {
            if (rule.mayFollow(view, o.terms(), agreedBy(o), nowMs)
                    && (first == null
                            || o.terms().toString().compareTo(first.terms().toString()) < 0)) { // the same one at all
                first = o;
            }
        }
        return first;
    }

    static List<String> agreedBy(AgreementProposal offer) {
        return offer.said().entrySet().stream()
                .filter(e -> e.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .toList();
    }

    void heard(Member from, Message.AgreementProposals said, long nowUs) {
        for (AgreementProposal o : said.offers()) {
            take(o, from.operator().equals(o.by()), nowUs);
        }
    }

    /** @param fromOwn whether its own operator names it: what others pass on does not keep it alive for ever */
    private void take(AgreementProposal heard, boolean fromOwn, long nowUs) {
        AgreementProposal known = offers.get(heard.terms());
        if (known == null && offers.size() >= Message.MOST_OFFERS) {
            return; // guards against a peer that floods: those that are there go by themselves
        }
        AgreementProposal now = known == null ? heard : known.merged(heard);
        if (!now.equals(known)) {
            offers.put(heard.terms(), now);
            log.event(
                    known == null ? "offer" : "offer_said",
                    "terms",
                    say(heard.terms()),
                    "by",
                    heard.by(),
                    "said",
                    now.said());
        }
        if (fromOwn) {
            namedUs.put(heard.terms(), nowUs);
        } else {
            namedUs.putIfAbsent(heard.terms(), nowUs);
        }
    }

    /** @param speaks whether this member is its operator's speaker now */
    void tick(View view, boolean speaks, long nowMs, long nowUs) {
        PartnerAgreement last = view.division() == null ? null : view.division().agreement();
        int revision = last == null ? 0 : last.revision();
        offers.keySet()
                .removeIf(a -> a.revision() <= revision || a.untilMs() <= nowMs || nowUs - namedUs.get(a) > KEEP_US);
        namedUs.keySet().retainAll(offers.keySet());
        if (!speaks) {
            return;
        }
        PartnerAgreement mine = terms.proposes();
        namedUs.replaceAll((a, at) -> isMine(a) ? nowUs : at);
        if (mine != null
                && mine.revision() == revision + 1
                && !offers.containsKey(mine)
                && mine.faults(nowMs, rule.mostAloneMs()).isEmpty()) {
            take(new AgreementProposal(mine, self.operator(), Map.of(self.operator(), "")), true, nowUs);
            agreed(mine);
        }
        if (terms.givesNotice()
                && last != null
                && last.party(self.operator()) != null
                && nowMs + last.noticeMs() < last.untilMs()
                && offers.keySet().stream()
                        .noneMatch(a -> a.untilMs() <= nowMs + last.noticeMs()
                                && a.parties().equals(last.parties()))) {
            PartnerAgreement ends = new PartnerAgreement(
                    last.name(),
                    revision + 1,
                    last.parties(),
                    last.fromMs(),
                    nowMs + last.noticeMs(),
                    last.aloneMs(),
                    last.standIn(),
                    last.moves(),
                    last.epochMs(),
                    last.noticeMs());
            notice = ends;
            take(new AgreementProposal(ends, self.operator(), Map.of(self.operator(), "")), true, nowUs);
            log.event("gives_notice", "until_ms", ends.untilMs());
            agreed(ends);
        }
        for (AgreementProposal o : List.copyOf(offers.values())) {
            if (o.terms().party(self.operator()) != null && !o.agrees(self.operator())) {
                answer(o, revision, nowMs, nowUs);
            }
        }
    }

    private void answer(AgreementProposal offer, int revision, long nowMs, long nowUs) {
        List<String> why = objections(offer, revision, nowMs);
        if (why.isEmpty()) {
            take(offer.with(self.operator(), ""), false, nowUs);
            agreed(offer.terms());
            return;
        }
        String text = String.join("; ", why);
        if (offer.said().containsKey(self.operator())) {
            return; // it has been refused already
        }
        take(offer.with(self.operator(), text), false, nowUs);
        log.event("refuses", "terms", say(offer.terms()), "why", text);
        PartnerAgreement counter =
                offer.by().equals(self.operator()) ? null : terms.counter(offer.terms(), self.operator());
        if (counter != null
                && !offers.containsKey(counter)
                && counter.faults(nowMs, rule.mostAloneMs()).isEmpty()
                && objections(new AgreementProposal(counter, self.operator(), Map.of()), revision, nowMs)
                        .isEmpty()) {
            countered = counter;
            take(new AgreementProposal(counter, self.operator(), Map.of(self.operator(), "")), true, nowUs);
            log.event("counters", "terms", say(counter));
            agreed(counter);
        }
    }

    /** Each names the term that it is about. */
    private List<String> objections(AgreementProposal offer, int revision, long nowMs) {
        PartnerAgreement a = offer.terms();
        List<String> why = new ArrayList<>(a.faults(nowMs, rule.mostAloneMs()));
        if (a.revision() != revision + 1) {
            why.add("revision: " + a.revision() + ", where " + revision + " is in force");
        }
        for (AgreementProposal other : offers.values()) {
            if (other.by().equals(offer.by())
                    && !other.terms().equals(a)
                    && other.terms().revision() == a.revision()
                    && other.agrees(self.operator())) {
                why.add("revision: " + offer.by() + " has proposed another " + a.revision()
                        + ", which is agreed to here");
            }
        }
        why.addAll(terms.objections(a, self.operator(), nowMs));
        return why;
    }

    private void agreed(PartnerAgreement to) {
        log.event("agrees", "terms", say(to));
    }

    /** For the log: all terms, the same at all. */
    static Map<String, Object> say(PartnerAgreement a) {
        Map<String, Object> parties = new TreeMap<>();
        for (Party p : a.parties()) {
            parties.put(p.operator(), List.of(p.brings(), p.owed(), p.floor()));
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("name", a.name());
        all.put("revision", a.revision());
        all.put("parties", parties);
        all.put("from_ms", a.fromMs());
        all.put("until_ms", a.untilMs());
        all.put("alone_ms", a.aloneMs());
        all.put("stand_in", a.standIn());
        all.put("moves", a.moves());
        all.put("epoch_ms", a.epochMs());
        all.put("notice_ms", a.noticeMs());
        return all;
    }
}
