package hopdrum.rig.swarm;

import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.shards.AgreementTerms;
import hopdrum.fleet.view.FleetTiming;
import hopdrum.rig.swarm.Swarm.Node;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** The table of docs/fleet.md on shards: how long any has no owner, and until when shares are met, simulated. */
public final class MeasureShards {
    private static final long S = 1_000_000;
    private static final FleetTiming TIMING = new FleetTiming(S, 5 * S, 3_600 * S);
    private static final int SHARDS = 64;
    private static final long ALONE_MS = 10_000;
    private static final long NO_END_MS = 4_000_000_000_000L;

    private interface Change {
        void in(Swarm swarm, SplittableRandom random);
    }

    private MeasureShards() {}

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 20;
        System.out.println(
                "| what | seeds | longest without an owner, periods: median | worst | shares met after, periods: median | worst | not met in 120 | rules broken |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        row("an amendment that moves a quarter", seeds, (s, r) -> amend(s, 2, "op0", 60, 20, 20));
        row("the same, clocks up to 3 s wrong", seeds, (s, r) -> {
            s.nodes().forEach(n -> n.wallOffMs = r.nextLong(-3_000, 3_000));
            amend(s, 2, "op0", 60, 20, 20);
        });
        row("the same, a fifth of messages lost", seeds, (s, r) -> {
            s.loss = 0.2;
            amend(s, 2, "op0", 60, 20, 20);
        });
        row("the same, one giver's link takes 0.4 periods each way", seeds, (s, r) -> {
            s.delays = (from, to) -> from.equals("m001") || to.equals("m001") ? 400_000 : 0;
            amend(s, 2, "op0", 60, 20, 20);
        });
        row("the same, a giver killed as it is settled, back after 5 s", seeds, (s, r) -> {
            amend(s, 2, "op0", 60, 20, 20);
            s.until(20 * S, () -> revision(s) == 2);
            restart(s, s.node(1), 5 * S, true);
        });
        row("the same, all takers killed as it is settled, back after 5 s without their stores", seeds, (s, r) -> {
            amend(s, 2, "op0", 60, 20, 20);
            s.until(20 * S, () -> revision(s) == 2);
            List<Node> takers =
                    s.nodes().stream().filter(n -> n.operator.equals("op0")).toList();
            takers.forEach(s::kill);
            s.run(5 * S);
            takers.forEach(n -> s.start(n, false));
        });
        row("the same, the decider paused for 8 s as it is agreed", seeds, (s, r) -> {
            amend(s, 2, "op0", 60, 20, 20);
            s.run(r.nextLong(3 * S));
            s.pause(s.node(0), 8 * S);
        });
        row("the same, a giver cut off for 15 s as it is settled", seeds, (s, r) -> {
            amend(s, 2, "op0", 60, 20, 20);
            s.until(20 * S, () -> revision(s) == 2);
            s.net = (a, b) -> a.equals("m001") == b.equals("m001");
            s.run(15 * S);
            s.net = (a, b) -> true;
        });
        row("an operator cut off for 30 s, nobody stands in", seeds, (s, r) -> {
            s.net = (a, b) -> side(a) == side(b);
            s.run(30 * S);
            s.net = (a, b) -> true;
        });
        row("all restarted at once", seeds, (s, r) -> {
            s.nodes().forEach(s::kill);
            s.run(S);
            s.nodes().forEach(n -> s.start(n, true));
        });
        row("twenty amendments while members die, pause and are cut off", Math.max(seeds, 50), (s, r) -> {
            for (int i = 0; i < 20; i++) {
                int next = revision(s) + 1;
                amend(s, next, "op" + r.nextInt(3), r.nextInt(1, 100), r.nextInt(1, 100), r.nextInt(1, 100));
                Node n = s.node(r.nextInt(7));
                switch (r.nextInt(4)) {
                    case 0 -> restart(s, n, r.nextLong(8 * S), r.nextInt(4) > 0);
                    case 1 -> s.pause(n, r.nextLong(12 * S));
                    case 2 -> {
                        s.net = (a, b) -> a.equals(n.name) == b.equals(n.name);
                        s.run(r.nextLong(10 * S));
                        s.net = (a, b) -> true;
                    }
                    default -> s.run(r.nextLong(5 * S));
                }
                s.run(r.nextLong(8 * S));
            }
        });
    }

    private static boolean side(String name) {
        return List.of("m001", "m004").contains(name); // op1's
    }

    private static int revision(Swarm s) {
        return s.nodes().stream()
                .filter(Node::isUp)
                .map(n -> n.view().shardAssignment())
                .filter(d -> d != null && d.agreement() != null)
                .mapToInt(d -> d.agreement().revision())
                .max()
                .orElse(0);
    }

    private static void restart(Swarm s, Node node, long afterUs, boolean withStore) {
        s.kill(node);
        s.run(afterUs);
        s.start(node, withStore);
    }

    private static void amend(Swarm s, int revision, String by, int... owed) {
        List<Party> parties = new ArrayList<>();
        for (int i = 0; i < owed.length; i++) {
            parties.add(new Party("op" + i, 100, owed[i], 0));
        }
        PartnerAgreement a =
                new PartnerAgreement("pact", revision, parties, 0, NO_END_MS, 5_000, false, SHARDS / 4, 10_000, 0);
        s.nodes().stream().filter(n -> n.operator.equals(by)).forEach(n -> s.follow(n, willing(a)));
    }

    private static AgreementTerms willing(PartnerAgreement proposes) {
        return new AgreementTerms(proposes, 0, 1_000, 0, ALONE_MS, SHARDS, NO_END_MS, false);
    }

    /** Seven members of three operators, agreed on a third each; then the change. */
    private static void row(String what, int seeds, Change change) {
        List<Double> gaps = new ArrayList<>();
        List<Double> met = new ArrayList<>();
        int never = 0;
        List<String> broken = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            Swarm s = new Swarm(7, 7, TIMING, seed);
            s.shards = SHARDS;
            s.mostAloneMs = ALONE_MS;
            s.nodes().forEach(n -> {
                n.operator = "op" + n.gateway % 3;
                n.terms = willing(null);
                s.start(n, false);
            });
            s.until(60 * S, s::isSettled);
            amend(s, 1, "op0", 33, 33, 33);
            s.until(60 * S, () -> revision(s) == 1 && isMet(s));
            s.run(20 * S);
            s.longestOwnerlessUs = 0;
            long began = s.nowUs();
            change.in(s, new SplittableRandom(seed));
            int wanted = what.contains("the same") || what.contains("an amendment") ? 2 : 1;
            if (s.until(120 * S, () -> revision(s) >= wanted && isMet(s))) {
                met.add((s.nowUs() - began) / (double) S);
            } else {
                never++;
            }
            gaps.add(s.longestOwnerlessUs / (double) S);
            broken.addAll(s.broken);
        }
        double[] g = gaps.stream().mapToDouble(d -> d).sorted().toArray();
        double[] m = met.stream().mapToDouble(d -> d).sorted().toArray();
        System.out.printf(
                java.util.Locale.ROOT,
                "| %s | %d | %.1f | %.1f | %.1f | %.1f | %d | %s |%n",
                what,
                seeds,
                g[g.length / 2],
                g[g.length - 1],
                m.length == 0 ? Double.NaN : m[m.length / 2],
                m.length == 0 ? Double.NaN : m[m.length - 1],
                never,
                broken.isEmpty() ? "none" : broken.size() + ", first " + broken.get(0));
        System.out.flush();
    }

    /** All have one view, and each operator acts on as many shards as the terms that stand there owe it, to within one. */
    private static boolean isMet(Swarm s) {
        if (!s.isSettled()) {
            return false;
        }
        ShardAssignment d = s.node(0).view().shardAssignment();
        double all = d.agreement() == null
                ? 0
                : d.agreement().parties().stream().mapToInt(Party::share).sum();
        int[] counts = Arrays.stream(new String[] {"op0", "op1", "op2"})
                .mapToInt(o -> s.acting().getOrDefault(o, 0))
                .toArray();
        for (int i = 0; i < 3; i++) {
            double owed = all == 0
                    ? SHARDS / 3.0
                    : SHARDS * d.agreement().party("op" + i).share() / all;
            if (Math.abs(counts[i] - owed) >= 1) {
                return false;
            }
        }
        return Arrays.stream(counts).sum() == SHARDS
                && (d.agreement() == null || d.agreement().revision() >= 1);
    }
}
