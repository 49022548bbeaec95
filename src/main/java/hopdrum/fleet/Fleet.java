package hopdrum.fleet;

import hopdrum.fleet.latency.LatencyMap;
import hopdrum.fleet.link.Links;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import hopdrum.fleet.shards.Partners;
import hopdrum.fleet.shards.Terms;
import hopdrum.fleet.store.Store;
import hopdrum.fleet.view.Leases;
import hopdrum.fleet.view.Membership;
import hopdrum.host.Distances;
import hopdrum.host.Shards;
import hopdrum.host.Sharers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * This front door's part in its fleet, from start to end: it owns the links, the store and the thread that keeps time,
 * and hands out what was settled as one immutable snapshot. Nothing here waits on the front door's loop, nor that on
 * anything here.
 */
public final class Fleet implements AutoCloseable, Supplier<Sharers> {
    private static final int TICKS_A_PERIOD = 10;
    private static final long STATUS_US = 10_000_000;
    private static final int MAP_PERIODS = 2;
    private static final double LEAST_SURE = 0.3; // below, a way is old, contradicted, or one member's word
    private static final double SHORTER =
            0.02; // of the difference, a tick: nobody turns to a site at once that has come near

    private final FleetFile file;
    private final Member self;
    private final FleetLog log;
    private final Store store;
    private final Links links;
    private final Membership membership; // under this object's lock
    private final Partners partners; // the same; null where no shards are divided
    private final Deque<Said> unsaid = new ArrayDeque<>(); // the same; emptied once what changed is handed out
    private final long loopOffsetUs;
    private final Thread ticker;
    private final Thread keeper;
    private final BlockingQueue<Vote> votes = new LinkedBlockingQueue<>(); // a few for each view; emptied by the keeper
    private volatile Sharers sharers = new Sharers(Long.MIN_VALUE / 2, List.of());
    private volatile Distances distances; // null: not to be gone by
    private volatile Shards shards; // null: nothing is divided yet
    private Map<String, List<Shards.Door>> doors = Map.of();
    private BiConsumer<Integer, List<Shards.Door>> onDoors = (tier, there) -> {};
    private boolean leaves;
    private long termsMs; // when the terms that are followed were written
    private long termsUs;
    private List<String> zones = List.of();
    private double[] shown = {}; // by zone, as last handed out
    private volatile boolean closed;
    private String claimed = "";
    private long statusUs;
    private long mapUs;

    /** What is to be kept, and what is done then. */
    private record Vote(Store.Kept kept, Runnable then) {}

    private record Said(String to, Message message) {}

    private final class Ears implements Links.Owner {
        @Override
        public String objection(Message.Hello hello) {
            if (!hello.fleet().equals(file.fleet())) {
                return "another fleet";
            }
            if (hello.shards() != file.shards() || file.shards() > 0 && hello.mostAloneMs() != file.mostAloneMs()) {
                return "other shards or most_alone_ms"; // a taker counts the time out that a giver may have
            }
            if (!file.operators().contains(hello.who().operator())) {
                return "an unknown operator";
            }
            synchronized (Fleet.this) {
                Member known = membership.failureDetector().known(hello.who().name());
                boolean sameStart =
                        known != null && known.start() == hello.who().start();
                return sameStart && !known.equals(hello.who()) ? "the name is another's" : null;
            }
        }

        @Override
        public void heard(Member from, Message message) {
            synchronized (Fleet.this) {
                if (!closed) {
                    membership.heard(from, message, nowUs());
                    handOut();
                }
            }
        }

        @Override
        public void turnedDown(String address, String why) {
            log.limited("refused_by", address + ": " + why);
        }
    }

    private Fleet(FleetFile file, int gateway, long seed, long loopOffsetUs) throws IOException {
        this.file = file;
        this.loopOffsetUs = loopOffsetUs;
        store = new Store(file.store());
        try {
            Store.Kept kept = store.read();
            long start = Math.max(System.currentTimeMillis() * 1000, kept == null ? 0 : kept.lastStart() + 1);
            SplittableRandom random = new SplittableRandom(seed ^ start); // the seed may be another member's too
            long voter = kept == null ? random.nextLong() | 1 : kept.voter();
            self = new Member(
                    file.name(), start, voter, file.operator(), file.site(), gateway, file.advertise(), file.serves());
            log = new FleetLog(file.log(), self.name(), self.start());
            log.event(
                    "starts",
                    "fleet",
                    file.fleet(),
                    "operator",
                    self.operator(),
                    "site",
                    self.site(),
                    "gateway",
                    gateway,
                    "address",
                    self.address(),
                    "voter",
                    voter,
                    "kept",
                    kept != null);
            if (store.damage() != null) {
                log.event("store_damaged", "why", store.damage());
            }
            store.write(
                    kept == null
                            ? new Store.Kept(voter, start, View.NONE, null, null, null)
                            : new Store.Kept(
                                    voter, start, kept.view(), kept.promised(), kept.acceptedIn(), kept.accepted()));
            int colon = file.listen().lastIndexOf(':');
            links = new Links(
                    new InetSocketAddress(
                            file.listen().substring(0, colon),
                            Integer.parseInt(file.listen().substring(colon + 1))),
                    new Message.Hello(
                            Message.VERSION,
                            file.fleet(),
                            file.shards(),
                            file.shards() == 0 ? 0 : file.mostAloneMs(),
                            self),
                    random.split(),
                    new Ears(),
                    log);
            partners = file.shards() == 0
                    ? null
                    : new Partners(
                            self,
                            file.shards(),
                            file.mostAloneMs(),
                            file.timing(),
                            random.split(),
                            this::say,
                            log::event,
                            System::currentTimeMillis);
            membership = new Membership(
                    self,
                    file.seeds(),
                    file.founders(),
                    kept,
                    file.timing(),
                    random.split(),
                    this::say,
                    this::keep,
                    partners,
                    log::event,
                    nowUs());
            ticker = new Thread(null, this::keepTime, "fleet-view", 256 << 10);
            ticker.setDaemon(true);
            keeper = new Thread(null, this::keepVotes, "fleet-store", 256 << 10);
            keeper.setDaemon(true);
        } catch (IOException | RuntimeException e) {
            store.close();
            throw e;
        }
    }

    /**
     * Starts the fleet's threads. Throws IOException, with one line, where the store, the log or the address cannot be
     * used.
     *
     * @param terms what this operator wants of its partners, as its file had it at termsMs
     * @param gateway this front door's number in its operator's tier
     * @param loopOffsetUs what the front door's clock is ahead of this machine's monotonic one
     */
    public static Fleet start(FleetFile file, Terms terms, long termsMs, int gateway, long seed, long loopOffsetUs)
            throws IOException {
        Fleet fleet = new Fleet(file, gateway, seed, loopOffsetUs);
        fleet.termsMs = termsMs;
        if (fleet.partners != null) {
            fleet.partners.follow(terms);
        }
        fleet.links.start();
        fleet.ticker.start();
        fleet.keeper.start();
        return fleet;
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    /** What Policy may know of who shares its customers' quotas; never waits. */
    @Override
    public Sharers get() {
        return sharers;
    }

    /** The zones that backends stand in, in the settings' order: from now on distances() tells how far they are. */
    public synchronized void zones(List<String> names) {
        zones = List.copyOf(names);
    }

    /** Null where the map does not know all zones, or not surely: then nothing is gone by. */
    public Distances distances() {
        return distances;
    }

    /** Whether customers are shared with partners, in shards. */
    public boolean sharesCustomers() {
        return partners != null;
    }

    /** Null until something is divided; never waits. */
    public Shards shards() {
        return shards;
    }

    /** Who is told, from a thread of the fleet's, of the front doors that RPCs may be passed on to: all of a tier's. */
    public synchronized void onDoors(BiConsumer<Integer, List<Shards.Door>> who) {
        onDoors = who;
        tellDoors(Map.of());
    }

    /** The tiers whose front doors are others than they were. */
    private void tellDoors(Map<String, List<Shards.Door>> before) {
        for (int i = 0; i < file.operators().size(); i++) {
            List<Shards.Door> of = doors.getOrDefault(file.operators().get(i), List.of());
            if (!of.equals(before.getOrDefault(file.operators().get(i), List.of()))) {
                onDoors.accept(i + 1, of);
            }
        }
    }

    private void place() {
        if (!file.places() || zones.isEmpty()) {
            return;
        }
        long now = nowUs();
        Map<String, LatencyMap.Way> ways = membership.latency().fromHere(zones, now);
        LatencyMap.Way home = ways.get(self.site());
        double[] next = new double[zones.size()];
        for (int i = 0; i < next.length; i++) {
            LatencyMap.Way way = ways.get(zones.get(i));
            if (!zones.get(i).equals(self.site()) && (way == null || way.sure() <= LEAST_SURE)) {
                distances = null;
                shown = new double[0];
                return;
            }
            next[i] =
                    zones.get(i).equals(self.site()) ? 0 : Math.max(0, way.rttUs() - (home == null ? 0 : home.rttUs()));
        }
        for (int i = 0; i < next.length && shown.length == next.length; i++) {
            next[i] = next[i] < shown[i] ? shown[i] + SHORTER * (next[i] - shown[i]) : next[i];
        }
        shown = next;
        distances = new Distances(
                java.util.Arrays.stream(next).mapToLong(d -> (long) d).toArray());
    }

    private void keepTime() {
        while (!closed) {
            try {
                synchronized (this) {
                    follow();
                    membership.tick(nowUs());
                    handOut();
                    status();
                    map();
                    place();
                }
                links.cutStalled(nowUs());
            } catch (RuntimeException e) { // a fault in one tick must not end all others
                log.limited("fault", e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
            }
            pause(file.timing().periodUs() / TICKS_A_PERIOD / 1000);
        }
    }

    private void keep(Store.Kept kept, Runnable then) {
        votes.add(new Vote(kept, then));
    }

    /** Forces votes to disk, one after another, while all else goes on. What cannot be kept is not given. */
    private void keepVotes() {
        while (!closed) {
            try {
                Vote vote = votes.take();
                store.write(vote.kept);
                synchronized (this) {
                    if (!closed) {
                        membership.viewConsensus().kept(vote.then, nowUs());
                        handOut();
                    }
                }
            } catch (IOException e) {
                log.limited("store_failed", String.valueOf(e.getMessage()));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(Math.max(1, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void say(String to, Message message) {
        unsaid.add(new Said(to, message));
    }

    /** What may be acted on first, then what peers are told: nobody hears that this member has stopped before it has. */
    private void handOut() {
        publish();
        divide();
        for (Said s = unsaid.poll(); s != null; s = unsaid.poll()) {
            links.send(s.to, s.message);
        }
    }

    private void divide() {
        if (partners == null) {
            return;
        }
        long now = nowUs();
        shards = partners.table(
                membership.viewConsensus().leases(),
                file.operators(),
                leaves || membership.isOut(now),
                loopOffsetUs,
                now);
        Map<String, List<Shards.Door>> before = doors;
        doors = partners.doors();
        tellDoors(before);
    }

    /** The operator's terms, read anew once their file is another; one that cannot be used changes nothing. */
    private void follow() {
        if (partners == null
                || file.terms() == null
                || nowUs() - termsUs < file.timing().periodUs()) {
            return;
        }
        termsUs = nowUs();
        long writtenMs = file.terms().toFile().lastModified();
        if (writtenMs != termsMs && writtenMs != 0) {
            termsMs = writtenMs;
            try {
                partners.follow(TermsFile.read(file.terms()));
            } catch (FleetFile.Faulty e) {
                log.limited("terms_faulty", e.getMessage());
            }
        }
    }

    /** A new snapshot, if what may be claimed has changed; what it lets this gateway claim is logged first. */
    private void publish() {
        long now = nowUs();
        Leases leases = membership.viewConsensus().leases();
        long until = membership.isOut(now) ? Long.MIN_VALUE / 2 : leases.untilUs(now);
        List<BitSet> views = new ArrayList<>();
        int most = 0;
        for (View view : leases.live(now)) {
            BitSet gateways = new BitSet();
            for (Member m : view.members()) {
                if (m.operator().equals(self.operator())) {
                    gateways.set(m.gateway());
                }
            }
            most = Math.max(most, gateways.cardinality());
            views.add(gateways);
        }
        String claim = until + "/" + most + "/" + views.size() + "/"
                + membership.viewConsensus().view().number();
        if (!claim.equals(claimed)) {
            claimed = claim;
            log.event("claim", "until_us", Math.max(0, until), "of", most, "operator", self.operator());
            sharers = new Sharers(until + loopOffsetUs, List.copyOf(views));
        }
    }

    /** The map from here, for the log: how far each site is, how sure that is and how it is known. */
    private void map() {
        long now = nowUs();
        if (now - mapUs < MAP_PERIODS * file.timing().periodUs()) {
            return;
        }
        mapUs = now;
        TreeSet<String> sites = new TreeSet<>();
        membership.failureDetector().present().forEach(m -> sites.add(m.site()));
        Map<String, Object> ways = new TreeMap<>();
        membership
                .latency()
                .fromHere(sites, now)
                .forEach((site, way) -> ways.put(
                        site,
                        List.of(
                                way.rttUs(),
                                Math.round(way.sure() * 1000) / 1000.0,
                                way.kind().name())));
        log.event("map", "site", self.site(), "ways", ways);
    }

    private void status() {
        long now = nowUs();
        if (now - statusUs < STATUS_US) {
            return;
        }
        statusUs = now;
        View view = membership.viewConsensus().view();
        long alive = membership.failureDetector().believed().values().stream()
                .filter(s -> s == State.ALIVE)
                .count();
        log.event(
                "status",
                "era",
                view.era(),
                "number",
                view.number(),
                "in_view",
                view.has(self),
                "members",
                view.members().size(),
                "alive",
                alive + 1,
                "cut_off",
                membership.viewConsensus().leases().isCutOff(),
                "bytes_out",
                links.bytesOut(),
                "messages_out",
                links.messagesOut());
    }

    /** Good-bye: told to peers at once; nothing is claimed from here on. */
    public void leave() {
        synchronized (this) {
            leaves = true;
            divide(); // first: what it acted on is passed on from here
            membership.leave(nowUs());
            handOut();
        }
    }

    /** Ends all threads and gives back address and store. */
    @Override
    public void close() throws IOException {
        closed = true;
        ticker.interrupt();
        links.close();
        keeper.interrupt();
        try {
            keeper.join(); // the store is not closed under a write
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
        log.event("ended");
        log.close();
    }
}
