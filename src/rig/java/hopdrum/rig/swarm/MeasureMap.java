package hopdrum.rig.swarm;

import hopdrum.fleet.latency.LatencyMap.LatencyEstimate;
import hopdrum.fleet.message.LatencyReading;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.view.FleetTiming;
import hopdrum.rig.swarm.Swarm.Node;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The latency map's tables of docs/fleet.md: its error against the truth, and how soon a new truth is known. Simulated. */
public final class MeasureMap {
    private static final long S = 1_000_000;
    private static final int SITES = 5;
    private static final int EACH = 4;
    private static final FleetTiming TIMING = new FleetTiming(S, 10 * S, 3_600 * S);

    private final Swarm swarm;
    private final Map<String, Long> oneWayUs = new HashMap<>();
    private double slower = 1;
    private String slow = "";

    private MeasureMap(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[][] at = new double[SITES][2];
        for (double[] a : at) {
            a[0] = random.nextDouble() * 60;
            a[1] = random.nextDouble() * 60;
        }
        for (int i = 0; i < SITES; i++) {
            for (int j = 0; j < SITES; j++) {
                double ms = i == j
                        ? 0.3
                        : 2 + Math.hypot(at[i][0] - at[j][0], at[i][1] - at[j][1]) * (1 + 0.2 * random.nextDouble());
                oneWayUs.merge(pair("s" + i, "s" + j), (long) (ms * 1000 / 2), Math::max);
            }
        }
        swarm = new Swarm(SITES * EACH, 5, TIMING, seed);
        swarm.stepUs = 500;
        swarm.delayUs = 500;
        for (Node node : swarm.nodes()) {
            node.site = "s" + node.gateway % SITES;
        }
        swarm.delays = (a, b) -> oneWay(site(a), site(b));
    }

    private static String pair(String a, String b) {
        return a.compareTo(b) < 0 ? a + b : b + a;
    }

    private static String site(String name) {
        return "s" + Integer.parseInt(name.substring(1)) % SITES;
    }

    private long oneWay(String a, String b) {
        long us = oneWayUs.get(pair(a, b));
        return !a.equals(b) && (a.equals(slow) || b.equals(slow)) ? (long) (us * slower) : us;
    }

    private long truthUs(String a, String b) {
        return 2 * oneWay(a, b) + 1_000; // what links and steps add in the mean
    }

    /** Relative errors of all members' ways, and how many of them were not known at all. */
    private List<Double> errors(boolean onlyUnseen, int[] unknown) {
        List<Double> errors = new ArrayList<>();
        for (Node node : swarm.nodes()) {
            for (int i = 0; i < SITES; i++) {
                for (int j = 0; j < i; j++) {
                    if (onlyUnseen && !(i == 1 && j == 0)) {
                        continue;
                    }
                    LatencyEstimate way = node.membership().latency().estimate("s" + i, "s" + j, swarm.nowUs());
                    if (way == null) {
                        unknown[0]++;
                    } else {
                        errors.add(
                                Math.abs(way.rttUs() - truthUs("s" + i, "s" + j)) / (double) truthUs("s" + i, "s" + j));
                    }
                }
            }
        }
        return errors;
    }

    private static String figures(List<Double> errors, int unknown) {
        double[] sorted = errors.stream().mapToDouble(d -> d).sorted().toArray();
        return sorted.length == 0
                ? "- | - | " + unknown
                : String.format("%.3f | %.3f | %d", sorted[sorted.length / 2], sorted[sorted.length * 9 / 10], unknown);
    }

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 10;
        System.out.println("| what | after | error, median | p90 | not known |");
        System.out.println("| --- | --- | --- | --- | --- |");
        for (String what : List.of(
                "all pairs of sites measured",
                "one pair of sites cut off from each other: that pair",
                "one of 20 lies, a tenth of what it measures")) {
            int[] at = {5, 10, 20, 40};
            List<List<Double>> all = new ArrayList<>();
            int[][] unknown = new int[at.length][1];
            Arrays.stream(at).forEach(t -> all.add(new ArrayList<>()));
            for (int seed = 0; seed < seeds; seed++) {
                MeasureMap m = new MeasureMap(500 + seed);
                boolean cut = what.startsWith("one pair");
                if (cut) {
                    m.swarm.net = (a, b) -> !pair(site(a), site(b)).equals("s0s1");
                } else if (what.startsWith("one of")) {
                    m.swarm.tamper = MeasureMap::lie;
                }
                m.swarm.nodes().forEach(n -> m.swarm.start(n, false));
                for (int t = 0; t < at.length; t++) {
                    m.swarm.run((at[t] - (t == 0 ? 0 : at[t - 1])) * S);
                    all.get(t).addAll(m.errors(cut, unknown[t]));
                }
            }
            for (int t = 0; t < at.length; t++) {
                System.out.println("| " + what + " | " + at[t] + " s | " + figures(all.get(t), unknown[t][0]) + " |");
            }
        }
        double[] known = new double[seeds];
        for (int seed = 0; seed < seeds; seed++) {
            MeasureMap m = new MeasureMap(900 + seed);
            m.swarm.nodes().forEach(n -> m.swarm.start(n, false));
            m.swarm.run(40 * S);
            m.slow = "s2";
            m.slower = 10;
            long from = m.swarm.nowUs();
            known[seed] = m.swarm.until(60 * S, m::allKnow) ? (m.swarm.nowUs() - from) / 1e6 : Double.POSITIVE_INFINITY;
        }
        Arrays.sort(known);
        System.out.printf(
                "%nOne site's links ten times slower: all ways from and to it within a quarter of the new truth, at all members, "
                        + "after %.1f s (median), %.1f s (worst), of %d seeds.%n",
                known[seeds / 2], known[seeds - 1], seeds);
    }

    private static Message lie(String from, Message message) {
        if (from.equals("m007") && message instanceof Message.LatencyExchange l) {
            return new Message.LatencyExchange(
                    l.seq(),
                    l.answer(),
                    l.readings().stream()
                            .map(r -> !r.observer().equals(from)
                                    ? r
                                    : new LatencyReading(
                                            r.observer(),
                                            r.start(),
                                            r.from(),
                                            r.to(),
                                            r.seq(),
                                            Math.max(1, r.rttUs() / 10),
                                            r.ageUs()))
                            .toList());
        }
        return message;
    }

    private boolean allKnow() {
        for (Node node : swarm.nodes()) {
            for (int i = 0; i < SITES; i++) {
                LatencyEstimate way =
                        i == 2 ? null : node.membership().latency().estimate("s2", "s" + i, swarm.nowUs());
                if (i != 2
                        && (way == null
                                || Math.abs(way.rttUs() - truthUs("s2", "s" + i)) > truthUs("s2", "s" + i) / 4.0)) {
                    return false;
                }
            }
        }
        return true;
    }
}
