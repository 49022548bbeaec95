package hopdrum.fleet;

import hopdrum.fleet.link.PeerConnections;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import hopdrum.fleet.shards.ShardCoordinator;
import hopdrum.fleet.shards.Terms;
import hopdrum.fleet.store.Store;
import hopdrum.fleet.view.Membership;
import hopdrum.host.QuotaLease;
import hopdrum.host.ShardOwnership;
import hopdrum.host.ZoneLatencies;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * This front door's part in its fleet, from start to end: it owns the peer connections, the store and the thread that
 * keeps time, and hands out what was settled as one immutable snapshot. Nothing here waits on the front door's loop, nor
 * that on anything here. Public methods may be called from any thread.
 */
public final class Fleet implements AutoCloseable, Supplier<QuotaLease> {
    private static final int TICKS_A_PERIOD = 10;

    private final FleetFile file;
    private final Member self;
    private final FleetLog log;
    private final Store store;
    private final PeerConnections connections;
    private final Membership membership; // under this object's lock
    private final ShardCoordinator shardCoordinator; // the same; null where no shards are divided
    private final Deque<PendingSend> pendingSends = new ArrayDeque<>(); // the same; emptied once changes are handed out
    private final long loopOffsetUs;
    private final Thread tickThread;
    private final VoteWriter voteWriter;
    private final ZoneLatencyPublisher zoneDistances;
    private final FleetStatusLog statusLog;
    private final QuotaLeasePublisher claims;
    private volatile ShardOwnership shards; // null: nothing is divided yet
    private Map<String, List<ShardOwnership.PartnerEndpoint>> doors = Map.of();
    private BiConsumer<Integer, List<ShardOwnership.PartnerEndpoint>> doorListener = (tier, there) -> {};
    private boolean leaving;
    private long termsMs; // when the terms that are followed were written
    private long termsCheckedUs;
    private volatile boolean closed;

    private record PendingSend(String to, Message message) {}

    /** Admits peers by their hello and takes their messages under the fleet's lock. */
    private final class PeerMessageHandler implements PeerConnections.MessageHandler {
        @Override
        public String objection(Message.Hello hello) {
            String objection = PeerAdmission.objectionToFleet(file, hello);
            if (objection != null) {
                return objection;
            }
            synchronized (Fleet.this) {
                Member known =
                        membership.failureDetector().latestStart(hello.who().name());
                boolean sameStart =
                        known != null && known.start() == hello.who().start();
                return sameStart && !known.equals(hello.who()) ? "the name is another's" : null;
            }
        }

        @Override
        public void heard(Member from, Message message) {
            synchronized (Fleet.this) {
                if (!closed) {
                    membership.onMessage(from, message, nowUs());
                    publishAndSend();
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
            Store.DurableState kept = store.read();
            long start = Math.max(System.currentTimeMillis() * 1000, kept == null ? 0 : kept.lastStart() + 1);
            SplittableRandom random = new SplittableRandom(seed ^ start); // the seed may be another member's too
            long voter = kept == null ? random.nextLong() | 1 : kept.voter();
            self = new Member(
                    file.name(), start, voter, file.operator(), file.site(), gateway, file.advertise(), file.serves());
            log = new FleetLog(file.log(), self.name(), self.start());
            logStart(gateway, kept != null);
            store.write(stateAtStart(kept, voter, start));
            connections = openConnections(random.split());
            shardCoordinator = file.shards() == 0 ? null : newShardCoordinator(random.split());
            voteWriter = new VoteWriter(store, log, () -> closed, this::voteWritten);
            membership = new Membership(
                    self,
                    file.seeds(),
                    file.founders(),
                    kept,
                    file.timing(),
                    random.split(),
                    this::queueSend,
                    voteWriter::queue,
                    shardCoordinator,
                    log::event,
                    nowUs());
            tickThread = new Thread(null, this::runTicks, "fleet-view", 256 << 10);
            tickThread.setDaemon(true);
            zoneDistances = new ZoneLatencyPublisher(self.site());
            statusLog = new FleetStatusLog(self, log, file.timing().periodUs());
            claims = new QuotaLeasePublisher(self.operator(), log, loopOffsetUs);
        } catch (IOException | RuntimeException e) {
            store.close();
            throw e;
        }
    }

    private void logStart(int gateway, boolean hadState) {
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
                self.voter(),
                "kept",
                hadState);
        if (store.damage() != null) {
            log.event("store_damaged", "why", store.damage());
        }
    }

    /** What the store holds from this start on: the state read, under this start's number. */
    private static Store.DurableState stateAtStart(Store.DurableState kept, long voter, long start) {
        return kept == null
                ? new Store.DurableState(voter, start, View.NONE, null, null, null)
                : new Store.DurableState(
                        voter, start, kept.view(), kept.promised(), kept.acceptedIn(), kept.accepted());
    }

    private PeerConnections openConnections(SplittableRandom random) throws IOException {
        int colon = file.listen().lastIndexOf(':');
        return new PeerConnections(
                new InetSocketAddress(
                        file.listen().substring(0, colon),
                        Integer.parseInt(file.listen().substring(colon + 1))),
                new Message.Hello(
                        Message.VERSION,
                        file.fleet(),
                        file.shards(),
                        file.shards() == 0 ? 0 : file.mostAloneMs(),
                        self),
                random,
                new PeerMessageHandler(),
                log);
    }

    private ShardCoordinator newShardCoordinator(SplittableRandom random) {
        return new ShardCoordinator(
                self,
                file.shards(),
                file.mostAloneMs(),
                file.timing(),
                random,
                this::queueSend,
                log::event,
                System::currentTimeMillis);
    }

    /**
     * Starts the fleet's threads. Throws IOException, with one line, where the store, the log or the address cannot be
     * used.
     *
     * @param terms what this operator wants of its partners, as its file had it at termsMs
     * @param termsMs when the terms file was last written, milliseconds of the wall clock; 0 for none
     * @param gateway this front door's number in its operator's tier
     * @param seed seeds this member's random choices, mixed with its start
     * @param loopOffsetUs what the front door's clock is ahead of this machine's monotonic one, microseconds
     * @return the running fleet member; close it to end its threads
     * @throws IOException where the store, the log or the listening address cannot be used
     */
    public static Fleet start(FleetFile file, Terms terms, long termsMs, int gateway, long seed, long loopOffsetUs)
            throws IOException {
        Fleet fleet = new Fleet(file, gateway, seed, loopOffsetUs);
        fleet.termsMs = termsMs;
        if (fleet.shardCoordinator != null) {
            fleet.shardCoordinator.follow(terms);
        }
        fleet.connections.start();
        fleet.tickThread.start();
        fleet.voteWriter.start();
        return fleet;
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    /** What Policy may know of who shares its customers' quotas; never waits. */
    @Override
    public QuotaLease get() {
        return claims.current();
    }

    /**
     * Sets the zones that backends stand in, in the settings' order: from now on distances() tells how far they are.
     *
     * @param names zone names, in the order of the settings' backends
     */
    public synchronized void setBackendZones(List<String> names) {
        zoneDistances.setZones(names);
    }

    /**
     * Returns the distance from here to each backend zone; never waits.
     *
     * @return null where the map does not know all zones, or not surely: then nothing is gone by
     */
    public ZoneLatencies zoneLatencies() {
        return zoneDistances.current();
    }

    /**
     * Tells whether customers are shared with partners, in shards.
     *
     * @return true where the fleet file sets a number of shards
     */
    public boolean sharesCustomers() {
        return shardCoordinator != null;
    }

    /**
     * Returns what this front door knows of who owns which shard; never waits.
     *
     * @return null until something is divided
     */
    public ShardOwnership shards() {
        return shards;
    }

    /**
     * Sets who is told, from a thread of the fleet's, of the front doors that RPCs may be forwarded to: all of a tier's.
     * It is told of all tiers at once, then of each tier whose front doors change.
     *
     * @param listener called with the tier (1 for the first operator) and its front doors
     */
    public synchronized void setDoorListener(BiConsumer<Integer, List<ShardOwnership.PartnerEndpoint>> listener) {
        doorListener = listener;
        notifyChangedDoors(Map.of());
    }

    /** The tiers whose front doors are others than they were. */
    private void notifyChangedDoors(Map<String, List<ShardOwnership.PartnerEndpoint>> before) {
        for (int i = 0; i < file.operators().size(); i++) {
            List<ShardOwnership.PartnerEndpoint> of =
                    doors.getOrDefault(file.operators().get(i), List.of());
            if (!of.equals(before.getOrDefault(file.operators().get(i), List.of()))) {
                doorListener.accept(i + 1, of);
            }
        }
    }

    private void runTicks() {
        while (!closed) {
            try {
                synchronized (this) {
                    reloadTermsIfChanged();
                    membership.tick(nowUs());
                    publishAndSend();
                    statusLog.logStatusIfDue(membership, connections, nowUs());
                    statusLog.logLatencyMapIfDue(membership, nowUs());
                    if (file.places()) {
                        zoneDistances.update(membership.latency(), nowUs());
                    }
                }
                connections.cutStalled(nowUs());
            } catch (RuntimeException e) { // a fault in one tick must not end all others
                log.limited("fault", e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
            }
            pause(file.timing().periodUs() / TICKS_A_PERIOD / 1000);
        }
    }

    /** On the vote writer's thread, once a vote is on disk. */
    private synchronized void voteWritten(Runnable then) {
        if (!closed) {
            membership.viewConsensus().onDurable(then, nowUs());
            publishAndSend();
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(Math.max(1, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void queueSend(String to, Message message) {
        pendingSends.add(new PendingSend(to, message));
    }

    /** What may be acted on first, then what peers are told: nobody hears that this member has stopped before it has. */
    private void publishAndSend() {
        claims.publishIfChanged(membership, nowUs());
        publishShardTable();
        for (PendingSend s = pendingSends.poll(); s != null; s = pendingSends.poll()) {
            connections.send(s.to, s.message);
        }
    }

    private void publishShardTable() {
        if (shardCoordinator == null) {
            return;
        }
        long now = nowUs();
        shards = shardCoordinator.table(
                membership.viewConsensus().leases(),
                file.operators(),
                leaving || membership.isInactive(now),
                loopOffsetUs,
                now);
        Map<String, List<ShardOwnership.PartnerEndpoint>> before = doors;
        doors = shardCoordinator.doors();
        notifyChangedDoors(before);
    }

    /** The operator's terms, read anew once their file is another; one that cannot be used changes nothing. */
    private void reloadTermsIfChanged() {
        if (shardCoordinator == null
                || file.terms() == null
                || nowUs() - termsCheckedUs < file.timing().periodUs()) {
            return;
        }
        termsCheckedUs = nowUs();
        long writtenMs = file.terms().toFile().lastModified();
        if (writtenMs != termsMs && writtenMs != 0) {
            termsMs = writtenMs;
            try {
                shardCoordinator.follow(TermsFile.read(file.terms()));
            } catch (FleetFile.InvalidFileException e) {
                log.limited("terms_faulty", e.getMessage());
            }
        }
    }

    /** Graceful shutdown: peers are told at once, and nothing is claimed from here on. Any thread. */
    public void leave() {
        synchronized (this) {
            leaving = true;
            publishShardTable(); // first: what it acted on is forwarded from here
            membership.leave(nowUs());
            publishAndSend();
        }
    }

    /**
     * Ends all threads and gives back address and store.
     *
     * @throws IOException where the store cannot be closed
     */
    @Override
    public void close() throws IOException {
        closed = true;
        tickThread.interrupt();
        connections.close();
        voteWriter.stopAndJoin();
        store.close();
        log.event("ended");
        log.close();
    }
}
