package hopdrum.fleet.latency;

import hopdrum.fleet.message.LatencyReading;
import hopdrum.fleet.message.Member;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * How far sites are from each other, as seen by all. Each member measures the ways from its site; readings are shared and
 * merged by observer and site, the higher number standing, so that any order, loss or repeat of messages gives the same
 * map. Of a pair the weighted median over observers counts. Ages travel as ages: no clock is compared with another's.
 * Not thread-safe. Times are microseconds of one monotonic clock.
 */
public final class LatencyMap {
    /** What is known of a way: SEEN by this member itself, MEASURED by others, TOLD by one alone, or ESTIMATED. */
    public enum Kind {
        SEEN,
        MEASURED,
        TOLD,
        ESTIMATED
    }

    /** @param sure from 0, a guess, to 1 */
    public record Way(long rttUs, double sure, Kind kind, long ageUs) {}

    private static final int MOST_READINGS = 5_000;
    private static final int READINGS_A_MESSAGE = 16;
    private static final int MOST_ASKED = 64;
    private static final long OLDEST_US = 60_000_000; // older ones are dropped
    private static final int MANY = 3; // observers that one liar cannot outweigh
    private static final double RUMOUR = 2; // how far one alone may move what is otherwise known: half to twice
    private static final double TOLD_SURE = 0.3;

    private static final class Own {
        long lastUs; // the sample before
        long lastAtUs = Long.MIN_VALUE / 2;
        long leastUs = Long.MAX_VALUE; // ever seen: the way itself takes so long
        long seq;
    }

    private record Key(String observer, String to) {}

    private record Held(LatencyReading reading, long bornUs) {}

    private record Asked(Member peer, long atUs) {}

    private final Member self;
    private final long halfLifeUs; // of a reading's weight
    private final Map<String, Own> own = new HashMap<>(); // by site; as many as there are sites
    private final Map<Key, Held> held = new HashMap<>(); // own ones too; emptied by age and its bound
    private final Map<Long, Asked> asked = new LinkedHashMap<>(); // emptied by answers and its bound
    private final Map<String, Long> askedAt = new HashMap<>(); // by site; as many as there are sites
    private long asks;

    /** A reading weighs half after three periods: by then there is a fresher one. */
    public LatencyMap(Member self, long periodUs) {
        this.self = self;
        this.halfLifeUs = 3 * periodUs;
    }

    // ---- What is measured and told ----

    /** A peer is asked now; the number is for its answer. */
    public long asks(Member peer, long nowUs) {
        if (asked.size() >= MOST_ASKED) {
            asked.remove(asked.keySet().iterator().next());
        }
        asked.put(++asks, new Asked(peer, nowUs));
        askedAt.put(peer.site(), nowUs);
        return asks;
    }

    /** When a member of this site was asked last. */
    public long sampledAtUs(String site) {
        return askedAt.getOrDefault(site, Long.MIN_VALUE / 2);
    }

    public void answered(Member peer, long seq, long nowUs) {
        Asked a = asked.remove(seq);
        if (a != null && a.peer.is(peer)) {
            sampled(peer, nowUs - a.atUs, nowUs);
        }
    }

    /** Those asked before this process was paused answer nothing about the way. */
    public void woke() {
        asked.clear();
    }

    /**
     * A message to a member and its answer took so long. The lesser of the last two counts: what a sender, a receiver or
     * a crowded link adds once is no distance, and nothing makes a way look shorter than it is.
     */
    public void sampled(Member peer, long rttUs, long nowUs) {
        if (rttUs <= 0 || rttUs > OLDEST_US) {
            return;
        }
        Own o = own.computeIfAbsent(peer.site(), k -> new Own());
        long reading = nowUs - o.lastAtUs < 2 * halfLifeUs ? Math.min(rttUs, o.lastUs) : rttUs;
        o.lastUs = rttUs;
        o.lastAtUs = nowUs;
        o.leastUs = Math.min(o.leastUs, rttUs);
        put(new LatencyReading(self.name(), self.start(), self.site(), peer.site(), ++o.seq, reading, 0), nowUs);
    }

    /** What another has measured or heard of. */
    public void heard(Collection<LatencyReading> readings, long nowUs) {
        for (LatencyReading r : readings) {
            if (!r.observer().equals(self.name())) { // of oneself one knows better
                put(r, nowUs);
            }
        }
    }

    private void put(LatencyReading r, long nowUs) {
        long born = nowUs - r.ageUs();
        Key key = new Key(r.observer(), r.to());
        Held before = held.get(key);
        if (nowUs - born > OLDEST_US || (before == null && held.size() >= MOST_READINGS)) {
            return;
        }
        boolean later = before == null
                || r.start() > before.reading.start()
                || (r.start() == before.reading.start() && r.seq() > before.reading.seq());
        boolean same = before != null && r.start() == before.reading.start() && r.seq() == before.reading.seq();
        if (later) {
            held.put(key, new Held(r, born));
        } else if (same && born < before.bornUs) {
            held.put(
                    key,
                    new Held(
                            before.reading,
                            born)); // a message's way makes a reading look younger: the older age is right
        }
    }

    /** What to tell a peer: the youngest readings, with their ages now. */
    public List<LatencyReading> readings(long nowUs) {
        held.values().removeIf(h -> nowUs - h.bornUs > OLDEST_US);
        return held.values().stream()
                .sorted(Comparator.comparingLong((Held h) -> -h.bornUs))
                .limit(READINGS_A_MESSAGE)
                .map(h -> new LatencyReading(
                        h.reading.observer(),
                        h.reading.start(),
                        h.reading.from(),
                        h.reading.to(),
                        h.reading.seq(),
                        h.reading.rttUs(),
                        Math.max(0, nowUs - h.bornUs)))
                .toList();
    }

    // ---- What is known ----

    /** Null where nothing is known. */
    public Way way(String from, String to, long nowUs) {
        List<double[]> seen = new ArrayList<>(); // latency and weight, one an observer
        long youngest = Long.MAX_VALUE;
        Way mine = null;
        for (Held h : held.values()) {
            LatencyReading r = h.reading;
            boolean ofPair =
                    (r.from().equals(from) && r.to().equals(to)) || (r.from().equals(to) && r.to().equals(from));
            long age = nowUs - h.bornUs;
            if (ofPair && age <= OLDEST_US) {
                seen.add(new double[] {r.rttUs(), weight(age)});
                youngest = Math.min(youngest, age);
                if (r.observer().equals(self.name())) {
                    mine = new Way(r.rttUs(), seen.get(seen.size() - 1)[1], Kind.SEEN, age);
                }
            }
        }
        Map<String, Double> others = seen.size() >= MANY || mine != null ? new HashMap<>() : measured(nowUs);
        others.remove(pair(from, to));
        Way guess = others.isEmpty() ? null : estimate(from, to, others);
        if (seen.isEmpty()) {
            return guess;
        }
        double median = median(seen);
        double apart = spread(seen, median);
        double fresh = weight(youngest);
        if (mine != null) { // never below what this member has seen at best: nobody's word shortens a way
            long least = own.get(from.equals(self.site()) ? to : from).leastUs;
            double value = seen.size() >= MANY ? median : within(median, (double) mine.rttUs);
            return new Way(Math.max(least, (long) value), fresh / (1 + apart), Kind.SEEN, youngest);
        }
        if (seen.size() < MANY) {
            double value = guess == null ? median : within(median, (double) guess.rttUs);
            return new Way((long) value, TOLD_SURE * fresh, Kind.TOLD, youngest);
        }
        return new Way((long) median, fresh / (1 + apart), Kind.MEASURED, youngest);
    }

    /** A rumour alone neither makes a site best nor unusable. */
    private static double within(double value, double known) {
        return Math.max(known / RUMOUR, Math.min(known * RUMOUR, value));
    }

    private static double median(List<double[]> seen) {
        seen.sort(Comparator.comparingDouble(s -> s[0]));
        double half = seen.stream().mapToDouble(s -> s[1]).sum() / 2;
        double sum = 0;
        for (double[] s : seen) {
            sum += s[1];
            if (sum >= half) {
                return s[0];
            }
        }
        return seen.get(seen.size() - 1)[0];
    }

    /** The median of what observers are apart from the median, relative. */
    private static double spread(List<double[]> seen, double median) {
        List<double[]> apart = new ArrayList<>();
        seen.forEach(s -> apart.add(new double[] {Math.abs(s[0] - median) / Math.max(1, median), s[1]}));
        return median(apart);
    }

    /**
     * A way that nobody has measured lies between what two ways over a third site differ by and what they add up to; the
     * middle of the tightest such bounds, over all third sites, and as sure as they are tight.
     */
    private Way estimate(String from, String to, Map<String, Double> ways) {
        double least = 0;
        double most = Double.MAX_VALUE;
        for (String over : sites()) {
            Double first = ways.get(pair(from, over));
            Double second = ways.get(pair(over, to));
            if (!over.equals(from) && !over.equals(to) && first != null && second != null) {
                least = Math.max(least, Math.abs(first - second));
                most = Math.min(most, first + second);
            }
        }
        if (most == Double.MAX_VALUE) {
            return null;
        }
        double low = Math.min(least, most); // where the ways contradict each other, the shorter detour stands
        return new Way(Math.max(1, (long) ((low + most) / 2)), 0.5 * low / most, Kind.ESTIMATED, 0);
    }

    private TreeSet<String> sites() {
        TreeSet<String> all = new TreeSet<>();
        held.values().forEach(h -> {
            all.add(h.reading.from());
            all.add(h.reading.to());
        });
        return all;
    }

    private static String pair(String a, String b) {
        return a.compareTo(b) < 0 ? a + ">" + b : b + ">" + a;
    }

    /** Of each pair that anybody has measured, the weighted median. */
    private Map<String, Double> measured(long nowUs) {
        Map<String, List<double[]>> seen = new HashMap<>();
        for (Held h : held.values()) {
            long age = nowUs - h.bornUs;
            if (age <= OLDEST_US) {
                seen.computeIfAbsent(pair(h.reading.from(), h.reading.to()), k -> new ArrayList<>())
                        .add(new double[] {h.reading.rttUs(), weight(age)});
            }
        }
        Map<String, Double> all = new HashMap<>();
        seen.forEach((pair, of) -> all.put(pair, median(of)));
        return all;
    }

    private double weight(long ageUs) {
        return Math.pow(0.5, (double) ageUs / halfLifeUs);
    }

    /** All ways from this member's site that anything is known of, by site. */
    public Map<String, Way> fromHere(Collection<String> sites, long nowUs) {
        Map<String, Way> all = new TreeMap<>();
        for (String site : sites) {
            Way way = way(self.site(), site, nowUs);
            if (way != null) {
                all.put(site, way);
            }
        }
        return all;
    }
}
