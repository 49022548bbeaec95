package hopdrum.fleet.view;

import hopdrum.fleet.FleetTiming;
import hopdrum.fleet.message.GossipUpdate;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Who is there, soon and approximately: each period one member is pinged, through others if it does not answer; one
 * that nobody reaches is suspected, may refute, and is dead after a time that shrinks as others confirm. News rides on
 * the pings. After SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2018); docs/fleet.md says
 * what was changed. Not thread-safe. Times are microseconds of one monotonic clock.
 */
public final class FailureDetector {
    private static final int HELPERS = 3; // members asked to ping in one's stead; confirmations that count
    private static final int MOST_RUMOURS = 8; // on one ping: its size stays flat as the fleet grows
    private static final int SAID_PER_DOUBLING = 4; // a rumour is said so often for each doubling of the fleet
    private static final int WORST_HEALTH = 8; // of the observer, by whose multiples it waits longer
    private static final int EXCHANGE_PERIODS = 10;
    private static final int EXCHANGE_MEMBERS = 16; // beyond, exchanges come more seldom: their bytes stay flat
    private static final int SEEK_PERIODS = 3; // between two tries to reach a seed or one of the dead
    private static final int MOST_RELAYED = 512;

    /** What is believed of one other member. */
    private final class Entry {
        Member member;
        long incarnation;
        State state;
        long sinceUs;
        long heardUs = Long.MIN_VALUE / 2; // it spoke to us itself
        long lookUs; // when a suspect may be looked at again
        final Set<String> accusers = new HashSet<>(2); // of a suspicion; emptied with it

        Entry(GossipUpdate of, long nowUs) {
            member = of.about();
            take(of, nowUs);
        }

        void take(GossipUpdate r, long nowUs) {
            incarnation = r.incarnation();
            state = r.state();
            sinceUs = nowUs;
            lookUs = nowUs;
            accusers.clear();
            if (state == State.SUSPECT) {
                accusers.add(r.by());
            }
        }

        boolean isThere() {
            return state == State.ALIVE || state == State.SUSPECT;
        }

        GossipUpdate rumour(String by) {
            return new GossipUpdate(member, incarnation, state, by);
        }

        /** Shrinks from the longest to the least time as others confirm. */
        long deadAtUs() {
            int others = Math.min(HELPERS, there() - 1); // who could confirm, beside the first to accuse
            double part = others <= 0 ? 1 : Math.log(Math.min(others, accusers.size() - 1) + 1) / Math.log(others + 1);
            long longest = timing.longestSuspectUs();
            return sinceUs + Math.max(timing.suspectUs(), (long) (longest - part * (longest - timing.suspectUs())));
        }
    }

    /** Who is told how long a direct ping took to be answered, microseconds. */
    public interface RoundTripListener {
        void roundTripMeasured(Member peer, long rttUs, long nowUs);
    }

    private static final class Pending {
        GossipUpdate rumour;
        int said;
    }

    private record Relayed(String origin, long seq, long atUs) {}

    /** A ping at a suspect by one that others' word made look. */
    private static final class Check {
        final Entry of;
        final long incarnation;
        final long atUs;
        boolean indirect;

        Check(Entry of, long incarnation, long atUs) {
            this.of = of;
            this.incarnation = incarnation;
            this.atUs = atUs;
        }
    }

    private final Member self;
    private final FleetTiming timing;
    private final List<String> seeds;
    private final SplittableRandom random;
    private final MessageSender out;
    private final DecisionLog log;
    private final RoundTripListener roundTrips;
    private final Map<String, Entry> entries = new LinkedHashMap<>(); // by name; emptied by forget()
    private final Map<String, Pending> rumours =
            new LinkedHashMap<>(); // by name; emptied as they have been said enough
    private final Map<Long, Relayed> relayed =
            new LinkedHashMap<>(); // pings in others' stead; emptied by age and bound
    private final Map<Long, Check> checks = new LinkedHashMap<>(); // pings at suspects; emptied by answers and by age
    private final List<Entry> ring = new ArrayList<>(); // who is pinged next; made anew when empty
    private long incarnation;
    private boolean leaving;
    private Member rival; // a later start of this name elsewhere
    private View view = View.NONE; // named in pings
    private int health; // 0: this observer is well
    private long seq;
    private long lastTickUs;
    private Entry probed;
    private long probeSeq;
    private long probeSentUs;
    private boolean probeIndirect;
    private int nacksAwaited;
    private long nextProbeUs;
    private long nextExchangeUs;
    private long nextSeekUs;

    public FailureDetector(
            Member self,
            List<String> seeds,
            FleetTiming timing,
            SplittableRandom random,
            MessageSender out,
            DecisionLog log,
            RoundTripListener roundTrips,
            long nowUs) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.timing = timing;
        this.random = random;
        this.out = out;
        this.log = log;
        this.roundTrips = roundTrips;
        this.lastTickUs = nowUs;
        this.nextProbeUs = nowUs + random.nextLong(timing.periodUs());
        this.nextExchangeUs = nowUs;
        this.nextSeekUs = nowUs;
        say(new GossipUpdate(self, incarnation, State.ALIVE, self.name()));
    }

    // ---- What is asked ----

    public State state(String name) {
        Entry e = entries.get(name);
        return name.equals(self.name()) ? leaving ? State.LEFT : State.ALIVE : e == null ? null : e.state;
    }

    /** The start of this name that is believed in last; null if none is known. */
    public Member known(String name) {
        Entry e = entries.get(name);
        return name.equals(self.name()) ? self : e == null ? null : e.member;
    }

    /** Since when it has been believed to be as it is. */
    public long sinceUs(String name) {
        Entry e = entries.get(name);
        return e == null ? Long.MIN_VALUE / 2 : e.sinceUs;
    }

    /** All members believed to be there, suspected or not, this one among them unless it leaves. */
    public List<Member> present() {
        List<Member> present = new ArrayList<>();
        if (!leaving) {
            present.add(self);
        }
        for (Entry e : entries.values()) {
            if (e.isThere()) {
                present.add(e.member);
            }
        }
        return present;
    }

    /** Who has said good-bye and is not forgotten yet. */
    public List<Member> left() {
        List<Member> left = new ArrayList<>();
        for (Entry e : entries.values()) {
            if (e.state == State.LEFT) {
                left.add(e.member);
            }
        }
        return left;
    }

    /** A later start under this name, at another address; null if there is none. */
    public Member rival() {
        return rival;
    }

    private int there() {
        int n = 0;
        for (Entry e : entries.values()) {
            n += e.isThere() ? 1 : 0;
        }
        return n;
    }

    /** How much longer than usual this observer waits before it blames others. */
    private int patience() {
        return health + 1;
    }

    // ---- In the course of time: called some times a period ----

    public void tick(long nowUs) {
        long awayUs = nowUs - lastTickUs;
        lastTickUs = nowUs;
        if (awayUs > 2 * timing.periodUs()) {
            wokeAfter(awayUs, nowUs);
        }
        for (Entry e : List.copyOf(entries.values())) {
            if (e.state == State.SUSPECT && nowUs >= e.deadAtUs()) {
                take(e, new GossipUpdate(e.member, e.incarnation, State.DEAD, self.name()), nowUs);
            } else if (!e.isThere() && nowUs - e.sinceUs > timing.forgetUs()) {
                entries.remove(e.member.name());
                rumours.remove(e.member.name());
            }
        }
        relayed.values().removeIf(r -> nowUs - r.atUs > 2 * timing.periodUs());
        checks(nowUs);
        probe(nowUs);
        if (nowUs >= nextExchangeUs) {
            long mean = EXCHANGE_PERIODS * timing.periodUs() * Math.max(1, there() / EXCHANGE_MEMBERS);
            nextExchangeUs = nowUs + mean / 2 + random.nextLong(mean);
            Entry with = any(Entry::isThere);
            if (with != null) {
                out.send(with.member.address(), exchange(false));
            }
        }
        if (nowUs >= nextSeekUs) {
            nextSeekUs =
                    nowUs + SEEK_PERIODS * timing.periodUs() / 2 + random.nextLong(SEEK_PERIODS * timing.periodUs());
            seek();
        }
    }

    /**
     * Guards against blaming others for a pause of one's own: what was not answered meanwhile says nothing, suspects
     * get the time again, and this observer trusts itself less for a while.
     */
    private void wokeAfter(long awayUs, long nowUs) {
        log.event("woke", "away_us", awayUs);
        health = (int) Math.min(WORST_HEALTH, health + awayUs / timing.periodUs());
        probed = null;
        checks.clear();
        nextProbeUs = nowUs;
        for (Entry e : entries.values()) {
            if (e.state == State.SUSPECT) {
                e.sinceUs = nowUs;
            }
        }
    }

    /** Each suspect is looked at by some three others, at once and then each period: they confirm, or it refutes. */
    private void checks(long nowUs) {
        for (Entry e : entries.values()) {
            if (e.state == State.SUSPECT && nowUs >= e.lookUs) {
                e.lookUs = nowUs + timing.periodUs();
                if (random.nextDouble() < (double) HELPERS / Math.max(1, there())) {
                    ping(e, ++seq);
                    checks.put(seq, new Check(e, e.incarnation, nowUs));
                }
            }
        }
        for (Map.Entry<Long, Check> one : List.copyOf(checks.entrySet())) {
            Check check = one.getValue();
            if (check.of.state != State.SUSPECT || check.of.incarnation != check.incarnation) {
                checks.remove(one.getKey());
            } else if (nowUs - check.atUs >= timing.periodUs() * patience()) {
                checks.remove(one.getKey());
                suspect(check.of, nowUs);
            } else if (!check.indirect && nowUs - check.atUs >= timing.pingUs() * patience()) {
                check.indirect = true;
                askHelpers(check.of, one.getKey());
            }
        }
    }

    private int askHelpers(Entry about, long number) {
        List<Entry> helpers = some(HELPERS, e -> e.state == State.ALIVE && e != about);
        for (Entry helper : helpers) {
            out.send(helper.member.address(), new Message.PingRequest(number, about.member, gossipFor(helper)));
        }
        return helpers.size();
    }

    private void probe(long nowUs) {
        if (probed != null && !probeIndirect && nowUs - probeSentUs >= timing.pingUs() * patience()) {
            probeIndirect = true;
            nacksAwaited = askHelpers(probed, probeSeq);
        }
        if (nowUs < nextProbeUs) {
            return;
        }
        if (probed != null && nowUs - probeSentUs < timing.periodUs() * patience()) {
            return; // Lifeguard: an observer that is not well gives its probes longer
        }
        if (probed != null) {
            health = Math.min(
                    WORST_HEALTH,
                    health + Math.max(nacksAwaited, there() <= 1 ? 1 : 0)); // helpers are mute too: it may be us
            if (probed.isThere()) {
                suspect(probed, nowUs);
            }
            probed = null;
        }
        nextProbeUs = nowUs + timing.periodUs();
        probed = next();
        if (probed != null) {
            probeSeq = ++seq;
            probeSentUs = nowUs;
            probeIndirect = false;
            nacksAwaited = 0;
            ping(probed, probeSeq);
        }
    }

    private void ping(Entry e, long number) {
        out.send(e.member.address(), new Message.Ping(number, view.era(), view.number(), gossipFor(e)));
    }

    /** Round and round in an order shuffled anew each time: no member waits for more than two rounds. */
    private Entry next() {
        while (true) {
            if (ring.isEmpty()) {
                entries.values().stream().filter(Entry::isThere).forEach(ring::add);
                for (int i = ring.size() - 1; i > 0; i--) {
                    java.util.Collections.swap(ring, i, random.nextInt(i + 1));
                }
                if (ring.isEmpty()) {
                    return null;
                }
            }
            Entry e = ring.remove(ring.size() - 1);
            if (e.isThere() && entries.get(e.member.name()) == e) {
                return e;
            }
        }
    }

    /** Guards against halves that have taken each other for dead, and against a start that finds nobody: for ever. */
    private void seek() {
        Set<String> addresses = new HashSet<>();
        for (Entry e : entries.values()) {
            addresses.add(e.isThere() ? e.member.address() : "");
        }
        List<String> gone = new ArrayList<>();
        for (String seed : seeds) {
            if (!addresses.contains(seed) && !seed.equals(self.address())) {
                gone.add(seed);
            }
        }
        for (Entry e : entries.values()) {
            if (e.state == State.DEAD && !addresses.contains(e.member.address())) {
                gone.add(e.member.address());
            }
        }
        if (!gone.isEmpty() && !leaving) {
            out.send(gone.get(random.nextInt(gone.size())), exchange(false));
        }
    }

    private Entry any(java.util.function.Predicate<Entry> which) {
        List<Entry> one = some(1, which);
        return one.isEmpty() ? null : one.get(0);
    }

    private List<Entry> some(int most, java.util.function.Predicate<Entry> which) {
        List<Entry> all = new ArrayList<>();
        for (Entry e : entries.values()) {
            if (which.test(e)) {
                all.add(e);
            }
        }
        for (int i = 0; i < Math.min(most, all.size()); i++) {
            java.util.Collections.swap(all, i, i + random.nextInt(all.size() - i));
        }
        return all.subList(0, Math.min(most, all.size()));
    }

    // ---- What peers say ----

    /** Somebody speaks: who it is stands in its hello. */
    private Entry heardFrom(Member from, long nowUs) {
        hear(new GossipUpdate(from, 0, State.ALIVE, from.name()), nowUs);
        Entry e = entries.get(from.name());
        if (e != null && e.member.is(from)) {
            e.heardUs = nowUs;
        }
        return e;
    }

    public void heard(Member from, Message.Ping ping, long nowUs) {
        Entry e = heardFrom(from, nowUs);
        hear(ping.rumours(), nowUs);
        out.send(
                from.address(),
                new Message.Ack(ping.seq(), view.era(), view.number(), e == null ? List.of() : gossipFor(e)));
    }

    public void heard(Member from, Message.Ack ack, long nowUs) {
        heardFrom(from, nowUs);
        hear(ack.rumours(), nowUs);
        checks.remove(ack.seq());
        Relayed forWhom = relayed.remove(ack.seq());
        if (forWhom != null) {
            out.send(forWhom.origin, new Message.Ack(forWhom.seq, view.era(), view.number(), List.of()));
        } else if (probed != null && ack.seq() == probeSeq) {
            if (from.is(probed.member) && nowUs - lastTickUs < timing.periodUs() / 2) { // no pause of ours in it
                roundTrips.roundTripMeasured(from, nowUs - probeSentUs, nowUs);
            }
            probed = null; // answered, itself or through another
            health = Math.max(0, health - 1);
        }
    }

    public void heard(Member from, Message.PingRequest asked, long nowUs) {
        heardFrom(from, nowUs);
        hear(asked.rumours(), nowUs);
        long mine = ++seq;
        if (relayed.size() < MOST_RELAYED) {
            relayed.put(mine, new Relayed(from.address(), asked.seq(), nowUs));
        }
        Entry whom = entries.get(asked.whom().name());
        out.send(
                asked.whom().address(),
                new Message.Ping(mine, view.era(), view.number(), whom == null ? List.of() : gossipFor(whom)));
        out.send(from.address(), new Message.Nack(asked.seq()));
    }

    public void heard(Member from, Message.Nack nack, long nowUs) {
        heardFrom(from, nowUs);
        if (probed != null && nack.seq() == probeSeq) {
            nacksAwaited = Math.max(0, nacksAwaited - 1);
        }
    }

    public void heard(Member from, Message.FullStateExchange exchange, long nowUs) {
        heardFrom(from, nowUs);
        hear(exchange.rumours(), nowUs);
        if (!exchange.answer()) {
            out.send(from.address(), exchange(true));
        }
    }

    private Message.FullStateExchange exchange(boolean answer) {
        List<GossipUpdate> all = new ArrayList<>();
        all.add(mine());
        for (Entry e : entries.values()) {
            all.add(e.rumour(accuser(e)));
        }
        return new Message.FullStateExchange(answer, view.era(), view.number(), all);
    }

    private GossipUpdate mine() {
        return new GossipUpdate(self, incarnation, leaving ? State.LEFT : State.ALIVE, self.name());
    }

    private String accuser(Entry e) {
        return e.accusers.isEmpty() ? self.name() : e.accusers.iterator().next();
    }

    // ---- What is believed ----

    private void hear(Collection<GossipUpdate> heard, long nowUs) {
        for (GossipUpdate r : heard) {
            hear(r, nowUs);
        }
    }

    /** Members of a settled view are looked at even if no rumour has named them. */
    public void learn(View settled, long nowUs) {
        view = settled;
        for (Member m : settled.members()) {
            if (!entries.containsKey(m.name())) {
                hear(new GossipUpdate(m, 0, State.ALIVE, self.name()), nowUs);
            }
        }
    }

    private void hear(GossipUpdate r, long nowUs) {
        if (r.about().name().equals(self.name())) {
            heardOfSelf(r);
            return;
        }
        Entry e = entries.get(r.about().name());
        if (e == null) {
            if (r.state() == State.ALIVE || r.state() == State.SUSPECT) { // what is dead and not known needs no memory
                Entry fresh = new Entry(r, nowUs);
                entries.put(r.about().name(), fresh);
                believed(fresh, r.by());
            }
        } else if (r.about().start() != e.member.start()) {
            if (r.about().start() > e.member.start() && !holdsName(e, r, nowUs)) {
                e.member = r.about();
                e.heardUs = Long.MIN_VALUE / 2;
                take(e, r, nowUs);
            }
        } else if (e.state == State.LEFT || !r.about().is(e.member)) {
            return; // who left does not come back under the same start; the same start cannot be two voters
        } else if (r.incarnation() > e.incarnation
                || (r.incarnation() == e.incarnation && r.state().ordinal() > e.state.ordinal())) {
            take(e, r, nowUs);
        } else if (r.incarnation() == e.incarnation
                && r.state() == State.SUSPECT
                && e.state == State.SUSPECT
                && e.accusers.size() <= HELPERS
                && e.accusers.add(r.by())) {
            say(r);
        }
    }

    /** Guards against two processes of one name: while one of them speaks, a later start elsewhere is no restart. */
    private boolean holdsName(Entry e, GossipUpdate later, long nowUs) {
        boolean elsewhere = !later.about().address().equals(e.member.address());
        boolean speaks = e.state == State.ALIVE && nowUs - e.heardUs < 2L * timing.periodUs() * Math.max(1, there());
        return elsewhere && speaks && later.state() != State.LEFT;
    }

    private void heardOfSelf(GossipUpdate r) {
        if (r.about().is(self)) {
            if (!leaving && r.state() != State.ALIVE && r.incarnation() >= incarnation) {
                incarnation = r.incarnation() + 1;
                health = Math.min(WORST_HEALTH, health + 1); // others could not reach us: are we slow?
                log.event("refuted", "what", r.state().name(), "by", r.by(), "incarnation", incarnation);
                say(mine());
            }
        } else if (r.about().start() > self.start() && r.state() == State.ALIVE && !leaving) {
            if (rival == null || rival.start() < r.about().start()) {
                rival = r.about();
                log.event("rival", "its_start", rival.start(), "at_address", rival.address());
            }
            out.send(r.about().address(), new Message.NameTaken(self));
        }
    }

    private void suspect(Entry e, long nowUs) {
        if (e.state == State.ALIVE) {
            take(e, new GossipUpdate(e.member, e.incarnation, State.SUSPECT, self.name()), nowUs);
        } else if (e.accusers.size() <= HELPERS && e.accusers.add(self.name())) {
            say(new GossipUpdate(e.member, e.incarnation, State.SUSPECT, self.name())); // confirms
        }
    }

    private void take(Entry e, GossipUpdate r, long nowUs) {
        if (probed == e && r.state() != State.SUSPECT) {
            probed = null;
        }
        State before = e.state;
        e.take(r, nowUs);
        if (before == State.SUSPECT && r.state() == State.ALIVE && r.by().equals(self.name())) {
            return;
        }
        believed(e, r.by());
    }

    private void believed(Entry e, String by) {
        log.event(
                "member",
                "who",
                e.member.name(),
                "its_start",
                e.member.start(),
                "state",
                e.state.name(),
                "by",
                by,
                "incarnation",
                e.incarnation);
        say(e.rumour(by));
    }

    // ---- Rumours ----

    private void say(GossipUpdate r) {
        Pending p = rumours.computeIfAbsent(r.about().name(), k -> new Pending());
        p.rumour = r;
        p.said = 0;
    }

    /** The least said first; to a suspect, first of all what is believed of it, so that it can refute. */
    private List<GossipUpdate> gossipFor(Entry to) {
        List<GossipUpdate> chosen = new ArrayList<>(MOST_RUMOURS);
        if (to.state != State.ALIVE) {
            chosen.add(to.rumour(accuser(to)));
        }
        int most = SAID_PER_DOUBLING * (32 - Integer.numberOfLeadingZeros(entries.size() + 1));
        List<Pending> pending = new ArrayList<>(rumours.values());
        pending.sort(Comparator.comparingInt(p -> p.said));
        for (Pending p : pending) {
            if (chosen.size() >= MOST_RUMOURS) {
                break;
            }
            if (!p.rumour.about().name().equals(to.member.name())) {
                chosen.add(p.rumour);
                p.said++;
            }
        }
        rumours.values().removeIf(p -> p.said >= most);
        return chosen;
    }

    /** Says good-bye: told to some at once, and from then on true for all. */
    public void leave() {
        leaving = true;
        say(mine());
        for (Entry e : some(HELPERS + 2, Entry::isThere)) {
            out.send(e.member.address(), exchange(true));
        }
    }

    /** For the log and for tests: what is believed of each. */
    public Map<String, State> believed() {
        Map<String, State> all = new HashMap<>();
        entries.values().forEach(e -> all.put(e.member.name(), e.state));
        return all;
    }
}
