package hopdrum.rig.swarm;

import hopdrum.fleet.view.FleetTiming;
import hopdrum.rig.swarm.Swarm.Node;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** The table of docs/fleet.md: how soon all have one view after each kind of change, simulated. */
public final class Measure {
    private static final long S = 1_000_000;
    private static final FleetTiming TIMING = new FleetTiming(S, 10 * S, 3_600 * S);

    private interface Change {
        /** Makes the change in a fleet that is settled; gives the periods until it is settled again, or a negative number. */
        double periods(Swarm swarm, SplittableRandom random);
    }

    private Measure() {}

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 20;
        System.out.println("| change | members | median, periods | worst | wrongly dropped | rules broken |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (int n : new int[] {5, 15, 30}) {
            row("a join", n, n - 1, seeds, (s, r) -> {
                s.start(s.node(n - 1), false);
                return settles(s);
            });
            row("a leave", n, n, seeds, (s, r) -> {
                s.leave(s.node(r.nextInt(n)));
                return settles(s);
            });
            row("a crash", n, n, seeds, (s, r) -> {
                s.kill(s.node(r.nextInt(n)));
                return settles(s);
            });
            row("a crash and restart after 1 s", n, n, seeds, (s, r) -> {
                Node node = s.node(r.nextInt(n));
                s.kill(node);
                s.run(S);
                s.start(node, true);
                return settles(s);
            });
            row("paused 8 s: from its waking", n, n, seeds, (s, r) -> {
                s.pause(s.node(r.nextInt(n)), 8 * S);
                s.run(8 * S);
                return settles(s);
            });
            row("all restarted one after another: from the last", n, n, seeds, (s, r) -> {
                for (Node node : s.nodes()) {
                    s.leave(node);
                    s.run(S / 2);
                    s.start(node, true);
                    s.run(3 * S);
                }
                return settles(s);
            });
            row("all restarted at once", n, n, seeds, (s, r) -> {
                s.nodes().forEach(s::kill);
                s.run(S);
                s.nodes().forEach(node -> s.start(node, true));
                return settles(s);
            });
            row("all restarted at once without their stores", n, n, seeds, (s, r) -> {
                s.nodes().forEach(s::kill);
                s.run(S);
                s.nodes().forEach(node -> s.start(node, false));
                return settles(s);
            });
            row("a split 2:3 of 30 s, from its heal", n, n, seeds, (s, r) -> {
                s.net = (a, b) -> side(a, n * 2 / 5) == side(b, n * 2 / 5);
                s.run(30 * S);
                s.net = (a, b) -> true;
                return settles(s);
            });
            row("a one-way cut to one member for 30 s: from its start, settled or unchanged", n, n, seeds, (s, r) -> {
                String deaf = s.node(n - 1).name;
                String near = s.node(0).name;
                s.net = (a, b) -> !(a.equals(near) && b.equals(deaf));
                s.run(30 * S);
                return settles(s);
            });
            row(
                    "20% of messages lost for 60 s",
                    n, n, seeds, (s, r) -> {
                        s.loss = 0.2;
                        s.run(60 * S);
                        s.loss = 0;
                        return settles(s);
                    });
        }
        row("7 of 9 killed at once and restarted after 5 s: from the restart", 9, 9, seeds, (s, r) -> {
            for (int i = 2; i < 9; i++) {
                s.kill(s.node(i));
            }
            s.run(5 * S);
            for (int i = 2; i < 9; i++) {
                s.start(s.node(i), true);
            }
            return settles(s);
        });
        row("a split 4:5 of 30 s, from its heal", 9, 9, seeds, (s, r) -> {
            s.net = (a, b) -> side(a, 4) == side(b, 4);
            s.run(30 * S);
            s.net = (a, b) -> true;
            return settles(s);
        });
        cost(new int[] {5, 15, 30, 300});
    }

    private static boolean side(String name, int of) {
        return Integer.parseInt(name.substring(1)) < of;
    }

    private static double settles(Swarm s) {
        long from = s.nowUs();
        return s.until(120 * S, s::isSettled) ? (double) (s.nowUs() - from) / TIMING.periodUs() : -1;
    }

    private static void row(String what, int n, int started, int seeds, Change change) {
        double[] periods = new double[seeds];
        int dropped = 0;
        List<String> broken = new ArrayList<>();
        for (int seed = 0; seed < seeds; seed++) {
            Swarm swarm = new Swarm(n, Math.min(5, started), TIMING, 1_000 + seed);
            for (int i = 0; i < started; i++) {
                swarm.start(swarm.node(i), false);
            }
            if (!swarm.until(120 * S, swarm::isSettled)) {
                broken.add("did not found");
            }
            swarm.run(15 * S);
            swarm.wronglyDropped.clear();
            double took = change.periods(swarm, new SplittableRandom(seed));
            periods[seed] = took < 0 ? Double.POSITIVE_INFINITY : took;
            dropped += swarm.wronglyDropped.values().stream().mapToInt(i -> i).sum();
            broken.addAll(swarm.broken);
        }
        Arrays.sort(periods);
        System.out.printf(
                "| %s | %d | %.1f | %.1f | %s | %s |%n",
                what,
                n,
                periods[seeds / 2],
                periods[seeds - 1],
                what.contains("split") ? "cut off" : dropped,
                broken.isEmpty() ? "none" : broken.size() + ": " + broken.get(0));
    }

    private static void cost(int[] sizes) {
        System.out.println();
        System.out.println(
                "| members | messages a second, mean (most) | bytes a second, mean (most) | CPU, us a second, mean |");
        System.out.println("| --- | --- | --- | --- |");
        for (int n : sizes) {
            Swarm swarm = new Swarm(n, Math.min(5, n), TIMING, 7);
            swarm.nodes().forEach(node -> swarm.start(node, false));
            boolean settled = swarm.until(300 * S, swarm::isSettled);
            swarm.run(20 * S);
            swarm.nodes().forEach(node -> node.bytes = node.messages = node.nanos = 0);
            swarm.run(60 * S);
            long mostMessages =
                    swarm.nodes().stream().mapToLong(x -> x.messages).max().orElse(0);
            long mostBytes =
                    swarm.nodes().stream().mapToLong(x -> x.bytes).max().orElse(0);
            System.out.printf(
                    "| %d%s | %.1f (%.1f) | %.0f (%.0f) | %.0f |%n",
                    n,
                    settled ? "" : " (not settled)",
                    swarm.nodes().stream().mapToLong(x -> x.messages).average().orElse(0) / 60,
                    mostMessages / 60.0,
                    swarm.nodes().stream().mapToLong(x -> x.bytes).average().orElse(0) / 60,
                    mostBytes / 60.0,
                    swarm.nodes().stream().mapToLong(x -> x.nanos).average().orElse(0) / 1000 / 60);
        }
    }
}
