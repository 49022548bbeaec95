package hopdrum.rig.swarm;

import hopdrum.fleet.message.Codec;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import hopdrum.fleet.shards.ShardCoordinator;
import hopdrum.fleet.shards.ShardTable;
import hopdrum.fleet.shards.Terms;
import hopdrum.fleet.store.Store.DurableState;
import hopdrum.fleet.view.DurableStateWriter;
import hopdrum.fleet.view.FleetTiming;
import hopdrum.fleet.view.Membership;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;

/**
 * Many members in virtual time, in one thread: the product's membership on a network of messages that are delayed, lost
 * and cut. What it measures is simulated. Each step the rules are checked: no number names two views, claims of one tier
 * never add up to more than the whole, numbers at one start never fall.
 */
public final class Swarm {

    /** One process that is or was. */
    public static final class Node {
        public final String name;
        public final int gateway;
        DurableState kept; // what its disk holds
        Membership membership; // null while it is down
        Member self;
        long pausedUntilUs;
        long nextTickUs;
        long lastNumber;
        long lastEra;
        public long bytes;
        public long messages;
        public long nanos; // of this thread, in its code

        public String site = "here";
        public String operator = "one";
        public Terms terms = Terms.NONE;
        public long wallOffMs;
        ShardCoordinator partners;
        ShardTable table; // as at the last step at which it ran

        Node(String name, int gateway) {
            this.name = name;
            this.gateway = gateway;
        }

        public boolean isUp() {
            return membership != null;
        }

        public View view() {
            return membership.viewConsensus().view();
        }

        public Membership membership() {
            return membership;
        }
    }

    /** A write on its way to a disk. */
    private record Write(long atUs, Node node, Membership of, DurableState kept, Runnable then) {}

    private record Flight(
            long atUs, long order, String from, String to, byte[] bytes, Member sender, long senderStart) {}

    /** Whether a message from the first to the second gets through, by name. */
    public interface Net {
        boolean passes(String from, String to);
    }

    /** What a member that lies says instead. */
    public interface Tamper {
        Message on(String from, Message message);
    }

    /** How much longer a message takes from the first to the second, by name, one way. */
    public interface Delays {
        long us(String from, String to);
    }

    private static final long WALL_MS = 1_800_000_000_000L;
    private final SplittableRandom random;
    private final FleetTiming timing;
    private final List<String> founders;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final PriorityQueue<Flight> flights =
            new PriorityQueue<>(Comparator.comparingLong(Flight::atUs).thenComparingLong(Flight::order));
    private final Map<String, String> contentByNumber = new HashMap<>();
    private final Map<String, String> byAddress = new HashMap<>();
    private final Deque<Write> writes = new ArrayDeque<>();
    private long order;
    private long nowUs = 1_000_000;
    private long starts = 1_000_000_000_000L;
    public double loss;
    public long stepUs = 10_000;
    public Tamper tamper = (from, message) -> message;
    public Delays delays = (from, to) -> 0;
    public long delayUs = 1_000;
    public ToLongFunction<String> diskUs = name -> 0; // how long a write takes, by member
    public Net net = (from, to) -> true;
    public final List<String> broken = new ArrayList<>();
    public final Map<String, Integer> wronglyDropped = new TreeMap<>();
    public final List<String> events = new ArrayList<>();
    public boolean keepEvents;
    public int shards; // 0: nothing is divided
    public long mostAloneMs = 30_000;
    private final Map<Integer, Long> ownerlessSinceUs = new HashMap<>();
    public long longestOwnerlessUs; // of any shard, since the first was owned

    public Swarm(int members, int founding, FleetTiming timing, long seed) {
        this.random = new SplittableRandom(seed);
        this.timing = timing;
        List<String> names = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            Node node = new Node(String.format("m%03d", i), i);
            nodes.put(node.name, node);
            byAddress.put(address(node), node.name);
            names.add(node.name);
        }
        founders = names.subList(0, founding);
    }

    private static String address(Node node) {
        return "127.0." + (node.gateway / 200) + "." + (1 + node.gateway % 200) + ":7400";
    }

    public List<Node> nodes() {
        return List.copyOf(nodes.values());
    }

    public Node node(int i) {
        return nodes().get(i);
    }

    public long nowUs() {
        return nowUs;
    }

    // ---- Faults ----

    public void start(Node node, boolean withStore) {
        if (!withStore) {
            node.kept = null;
        }
        long start = ++starts;
        long voter = node.kept == null ? random.nextLong() | 1 : node.kept.voter();
        node.self = new Member(
                node.name,
                start,
                voter,
                node.operator,
                node.site,
                node.gateway,
                address(node),
                shards == 0 ? null : address(node));
        DurableState kept = node.kept;
        Member self = node.self;
        node.lastNumber = 0;
        node.lastEra = 0;
        DurableStateWriter keeper = (k, then) ->
                writes.add(new Write(nowUs + diskUs.applyAsLong(node.name), node, node.membership, k, then));
        node.kept = kept == null
                ? new DurableState(voter, start, View.NONE, null, null, null)
                : new DurableState(voter, start, kept.view(), kept.promised(), kept.acceptedIn(), kept.accepted());
        List<String> seeds =
                founders.stream().limit(3).map(n -> address(nodes.get(n))).toList();
        node.membership = new Membership(
                self,
                seeds,
                founders,
                kept,
                timing,
                random.split(),
                (to, message) -> send(node, self, to, message),
                keeper,
                partners(node, self),
                (event, pairs) -> event(node, event, pairs),
                nowUs);
        node.nextTickUs = nowUs + random.nextLong(timing.periodUs() / 10);
    }

    private ShardCoordinator partners(Node node, Member self) {
        node.partners = shards == 0
                ? null
                : new ShardCoordinator(
                        self,
                        shards,
                        mostAloneMs,
                        timing,
                        random.split(),
                        (to, message) -> send(node, self, to, message),
                        (event, pairs) -> event(node, event, pairs),
                        () -> WALL_MS + nowUs / 1000 + node.wallOffMs);
        if (node.partners != null) {
            node.partners.follow(node.terms);
        }
        return node.partners;
    }

    /** Its operator's terms are others from now on. */
    public void follow(Node node, Terms terms) {
        node.terms = terms;
        if (node.isUp() && node.partners != null) {
            node.partners.follow(terms);
        }
    }

    /** The wall clock of one whose clock is right, milliseconds. */
    public long wallMs() {
        return WALL_MS + nowUs / 1000;
    }

    private void event(Node node, String event, Object... pairs) {
        if (keepEvents) {
            events.add(nowUs + " " + node.name + " " + event + " " + List.of(pairs));
        }
        if (event.equals("member") && pairs[5].equals("DEAD") && pairs[7].equals(node.name)) {
            Node of = nodes.get((String) pairs[1]);
            if (of.isUp()
                    && of.self.start() == (long) pairs[3]
                    && of.pausedUntilUs + timing.minSuspicionUs() <= nowUs) {
                wronglyDropped.merge(of.name, 1, Integer::sum);
            }
        }
    }

    public void kill(Node node) {
        node.membership = null;
    }

    public void leave(Node node) {
        node.membership.leave(nowUs);
        node.membership = null;
    }

    public void pause(Node node, long us) {
        node.pausedUntilUs = nowUs + us;
    }

    // ---- The network ----

    private void send(Node from, Member sender, String to, Message said) {
        Message message = tamper.on(from.name, said);
        byte[] bytes = Codec.bytes(message);
        from.bytes += bytes.length + 4;
        from.messages++;
        String name = byAddress.get(to);
        if (name == null || random.nextDouble() < loss || !net.passes(from.name, name)) {
            return;
        }
        long took = delayUs / 2 + random.nextLong(delayUs) + delays.us(from.name, name);
        flights.add(new Flight(nowUs + took, order++, from.name, name, bytes, sender, sender.start()));
    }

    // ---- Time ----

    /** Runs on; true as soon as the condition holds, false if it does not within the time. */
    public boolean until(long us, BooleanSupplier condition) {
        long end = nowUs + us;
        while (nowUs < end) {
            step();
            if (condition.getAsBoolean()) {
                return true;
            }
        }
        return false;
    }

    public void run(long us) {
        until(us, () -> false);
    }

    private void step() {
        nowUs += stepUs;
        while (!flights.isEmpty() && flights.peek().atUs <= nowUs) {
            Flight f = flights.poll();
            Node to = nodes.get(f.to);
            if (!to.isUp() || !net.passes(f.from, f.to)) {
                continue;
            }
            if (to.pausedUntilUs > nowUs) { // its kernel takes it in
                flights.add(
                        new Flight(to.pausedUntilUs + stepUs, order++, f.from, f.to, f.bytes, f.sender, f.senderStart));
                continue;
            }
            long began = System.nanoTime();
            to.membership.onMessage(f.sender, Codec.read(f.bytes), nowUs);
            to.nanos += System.nanoTime() - began;
            check(to);
        }
        written();
        for (Node node : nodes.values()) {
            if (node.isUp() && node.pausedUntilUs <= nowUs && node.nextTickUs <= nowUs) {
                node.nextTickUs = nowUs + timing.periodUs() / 10;
                long began = System.nanoTime();
                node.membership.tick(nowUs);
                node.nanos += System.nanoTime() - began;
                check(node);
            }
        }
        claims();
        owners();
    }

    /** No shard has two operators that act on it; a process that is paused acts on until its lease is over. */
    private void owners() {
        if (shards == 0) {
            return;
        }
        String[] owner = new String[shards];
        for (Node node : nodes.values()) {
            ShardTable table = !node.isUp() || node.membership.isInactive(nowUs)
                    ? null
                    : node.pausedUntilUs > nowUs
                            ? node.table
                            : node.partners.table(
                                    node.membership.viewConsensus().leases(), List.of(), false, 0, nowUs);
            node.table = table;
            String acts = table == null ? "" : table.acts(nowUs);
            for (int i = 0; i < acts.length(); i++) {
                if (acts.charAt(i) == 'x' && owner[i] != null && !owner[i].equals(node.operator)) {
                    broken.add(nowUs + " one-owner: " + i + " has " + owner[i] + " and " + node.operator);
                }
                owner[i] = acts.charAt(i) == 'x' ? node.operator : owner[i];
            }
        }
        for (int i = 0; i < shards; i++) {
            if (owner[i] != null) {
                ownerlessSinceUs.put(i, nowUs);
            } else if (ownerlessSinceUs.containsKey(i)) {
                longestOwnerlessUs = Math.max(longestOwnerlessUs, nowUs - ownerlessSinceUs.get(i));
            }
        }
    }

    /** How many shards each operator's front doors act on now. */
    public Map<String, Integer> acting() {
        Map<String, Integer> count = new TreeMap<>();
        for (int i = 0; i < shards; i++) {
            TreeSet<String> who = new TreeSet<>();
            for (Node node : nodes.values()) {
                if (node.isUp() && node.table != null && node.table.acts(nowUs).charAt(i) == 'x') {
                    who.add(node.operator);
                }
            }
            who.forEach(o -> count.merge(o, 1, Integer::sum));
        }
        return count;
    }

    /** What a process had not on disk when it was killed is gone. */
    private void written() {
        for (int i = writes.size(); i > 0; i--) {
            Write w = writes.poll();
            if (w.node.membership != w.of) {
                continue;
            }
            if (w.atUs > nowUs || w.node.pausedUntilUs > nowUs) {
                writes.add(w); // of one node all take as long, so they stay in order
                continue;
            }
            w.node.kept = w.kept;
            w.of.viewConsensus().onDurable(w.then, nowUs);
        }
    }

    // ---- The rules ----

    private void check(Node node) {
        View view = node.view();
        if (view.era() == node.lastEra && view.number() == node.lastNumber) {
            return;
        }
        if (view.era() == node.lastEra && view.number() < node.lastNumber) {
            broken.add(nowUs + " order: " + node.name + " went back to " + view.number());
        }
        node.lastEra = view.era();
        node.lastNumber = view.number();
        String content = view.members() + " " + view.division();
        String before = contentByNumber.putIfAbsent(view.era() + "/" + view.number(), content);
        if (before != null && !before.equals(content)) {
            broken.add(nowUs + " one-name-one-view: " + view.era() + "/" + view.number() + " at " + node.name);
        }
    }

    /** What all may claim of one tier's quota at this moment; a process that is paused claims on until its lease is over. */
    private void claims() {
        Map<String, Double> sums = new TreeMap<>();
        for (Node node : nodes.values()) {
            if (node.isUp()
                    && !node.membership.isInactive(nowUs)
                    && nowUs < node.membership.viewConsensus().leases().expiresAtUs(nowUs)) {
                int most = 1;
                for (View view : node.membership.viewConsensus().leases().liveViews(nowUs)) {
                    most = Math.max(most, (int) view.members().stream()
                            .filter(m -> m.operator().equals(node.operator))
                            .count());
                }
                sums.merge(node.operator, 1.0 / most, Double::sum);
            }
        }
        sums.forEach((operator, sum) -> {
            if (sum > 1 + 1e-9) {
                broken.add(nowUs + " claims: " + sum + " of the whole");
            }
        });
    }

    /** All that run have one view, and it holds exactly them, by this start. */
    public boolean isSettled() {
        View first = null;
        int up = 0;
        for (Node node : nodes.values()) {
            if (node.isUp()) {
                up++;
                View view = node.view();
                if (first == null) {
                    first = view;
                }
                if (!view.isNamed(first.era(), first.number()) || !view.has(node.self)) {
                    return false;
                }
            }
        }
        return first != null && first.members().size() == up;
    }
}
