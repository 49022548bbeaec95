package hopdrum.fleet;

import hopdrum.fleet.config.FleetFile;
import hopdrum.fleet.link.PeerConnections;
import hopdrum.fleet.log.FleetLog;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.View;
import hopdrum.fleet.shards.AgreementTerms;
import hopdrum.fleet.shards.ShardCoordinator;
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
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * This front door's part in its fleet, from start to end: it owns the peer connections, the store and the timer thread,
 * and publishes what was settled as immutable snapshots. Nothing here waits on the front door's event loop, nor that on
 * anything here. Public methods may be called from any thread.
 */
public final class Fleet implements AutoCloseable, Supplier<QuotaLease> {
    private static final int TICKS_PER_PERIOD = 10;
    private static final int STACK_BYTES = 256 << 10;

    private final FleetFile file;
    private final Member self;
    private final FleetLog log;
    private final Store store;
    private final PeerConnections connections;
    private final Membership membership; // under this object's lock
    private final ShardCoordinator shardCoordinator; // the same; null where no shards are shared
    private final ShardTablePublisher shardTables; // the same
    private final TermsFileReloader termsReloader; // the same; null also where there is no terms file
    private final Deque<PendingSend> pendingSends = new ArrayDeque<>(); // the same; emptied by publishAndSend()
    private final Thread tickThread;
    private final VoteWriter voteWriter;
    private final ZoneLatencyPublisher zoneLatencies;
    private final FleetStatusLog statusLog;
    private final QuotaLeasePublisher quotaLeases;
    private boolean leaving;
    private volatile boolean closed;

    private record PendingSend(String to, Message message) {}

    /** Admits peers by their hello and takes their messages under the fleet's lock. */
    private final class PeerMessageHandler implements PeerConnections.MessageHandler {
        @Override
        public Optional<String> rejectionReason(Message.Hello hello) {
            return PeerAdmission.rejectionReason(file, hello).or(() -> {
                synchronized (Fleet.this) {
                    Member known = membership
                            .failureDetector()
                            .latestStart(hello.sender().name());
                    boolean isSameStart =
                            known != null && known.start() == hello.sender().start();
                    return isSameStart && !known.equals(hello.sender())
                            ? Optional.of("the name is another's")
                            : Optional.empty();
                }
            });
        }

        @Override
        public void messageReceived(Member from, Message message) {
            synchronized (Fleet.this) {
                if (!closed) {
                    membership.onMessage(from, message, nowUs());
                    publishAndSend();
                }
            }
        }

        @Override
        public void rejectedByPeer(String address, String reason) {
            log.rateLimitedEvent("refused_by", address + ": " + reason);
        }
    }

    private Fleet(FleetFile file, long termsMs, int gateway, long seed, long loopOffsetUs) throws IOException {
        this.file = file;
        store = new Store(file.storeFolder());
        try {
            Store.DurableState stored = store.read();
            long start = Math.max(System.currentTimeMillis() * 1000, stored == null ? 0 : stored.lastStart() + 1);
            SplittableRandom random = new SplittableRandom(seed ^ start); // the seed may be another member's too
            long voter = stored == null ? random.nextLong() | 1 : stored.voter();
            self = new Member(
                    file.name(),
                    start,
                    voter,
                    file.operator(),
                    file.site(),
                    gateway,
                    file.advertisedAddress(),
                    file.partnerAddress());
            log = new FleetLog(file.logFile(), self.name(), self.start());
            logStart(gateway, stored != null);
            store.write(stateAtStart(stored, voter, start));
            connections = openConnections(random.split());
            shardCoordinator = file.shardCount() == 0 ? null : newShardCoordinator(random.split());
            shardTables = shardCoordinator == null
                    ? null
                    : new ShardTablePublisher(shardCoordinator, file.operators(), loopOffsetUs);
            termsReloader = shardCoordinator == null || file.termsFile() == null ? null : newTermsReloader(termsMs);
            voteWriter = new VoteWriter(store, log, () -> closed, this::voteWritten);
            membership = newMembership(stored, random.split());
            tickThread = new Thread(null, this::runTicks, "fleet-view", STACK_BYTES);
            tickThread.setDaemon(true);
            zoneLatencies = new ZoneLatencyPublisher(self.site());
            statusLog = new FleetStatusLog(self, log, file.timing().probePeriodUs());
            quotaLeases = new QuotaLeasePublisher(self.operator(), log, loopOffsetUs);
        } catch (IOException | RuntimeException e) {
            store.close();
            throw e;
        }
    }

    private void logStart(int gateway, boolean hadState) {
        log.event(
                "starts",
                "fleet",
                file.fleetName(),
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
    private static Store.DurableState stateAtStart(Store.DurableState stored, long voter, long start) {
        return stored == null
                ? new Store.DurableState(voter, start, View.NONE, null, null, null)
                : new Store.DurableState(
                        voter, start, stored.view(), stored.promised(), stored.acceptedIn(), stored.accepted());
    }

    private PeerConnections openConnections(SplittableRandom random) throws IOException {
        int colon = file.listenAddress().lastIndexOf(':');
        return new PeerConnections(
                new InetSocketAddress(
                        file.listenAddress().substring(0, colon),
                        Integer.parseInt(file.listenAddress().substring(colon + 1))),
                new Message.Hello(
                        Message.VERSION,
                        file.fleetName(),
                        file.shardCount(),
                        file.shardCount() == 0 ? 0 : file.maxAloneMs(),
                        self),
                random,
                new PeerMessageHandler(),
                log);
    }

    private ShardCoordinator newShardCoordinator(SplittableRandom random) {
        return new ShardCoordinator(
                self,
                file.shardCount(),
                file.maxAloneMs(),
                file.timing(),
                random,
                this::queueSend,
                log::event,
                System::currentTimeMillis);
    }

    private TermsFileReloader newTermsReloader(long termsMs) {
        return new TermsFileReloader(
                file.termsFile(), shardCoordinator, log, file.timing().probePeriodUs(), termsMs);
    }

    private Membership newMembership(Store.DurableState stored, SplittableRandom random) {
        return new Membership(
                self,
                file.seedAddresses(),
                file.founders(),
                stored,
                file.timing(),
                random,
                this::queueSend,
                voteWriter::queue,
                shardCoordinator,
                log::event,
                nowUs());
    }

    /**
     * Starts a fleet member and its threads.
     *
     * @param file the fleet file
     * @param terms what this operator proposes to its partners, as its terms file had it at termsMs
     * @param termsMs when the terms file was last written, milliseconds of the wall clock; 0 for none
     * @param gateway this front door's number in its operator's tier
     * @param seed seeds this member's random choices, mixed with its start
     * @param loopOffsetUs what the front door's clock is ahead of this machine's monotonic one, microseconds
     * @return the running fleet member; close it to end its threads
     * @throws IOException with one line, where the store, the log or the listening address cannot be used
     */
    public static Fleet start(
            FleetFile file, AgreementTerms terms, long termsMs, int gateway, long seed, long loopOffsetUs)
            throws IOException {
        Fleet fleet = new Fleet(file, termsMs, gateway, seed, loopOffsetUs);
        if (fleet.shardCoordinator != null) {
            fleet.shardCoordinator.updateTerms(terms);
        }
        fleet.connections.start();
        fleet.tickThread.start();
        fleet.voteWriter.start();
        return fleet;
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    /**
     * Returns which gateways share this operator's quotas, and until when this one may claim its share; never waits.
     *
     * @return the last quota lease
     */
    @Override
    public QuotaLease get() {
        return quotaLeases.current();
    }

    /**
     * Sets the backend zones whose latencies {@link #zoneLatencies} returns from now on.
     *
     * @param names zone names, in the order of the settings' backends
     */
    public synchronized void setBackendZones(List<String> names) {
        zoneLatencies.setZones(names);
    }

    /**
     * Returns the latency from here to each backend zone; never waits.
     *
     * @return null where the map lacks a confident estimate for any zone: then placement must ignore latency
     */
    public ZoneLatencies zoneLatencies() {
        return zoneLatencies.current();
    }

    /**
     * Returns whether customers are shared with partners, in shards.
     *
     * @return true where the fleet file sets a number of shards
     */
    public boolean sharesCustomers() {
        return shardCoordinator != null;
    }

    /**
     * Returns the shard ownership known to this front door; does not block.
     *
     * @return null until shards are assigned
     */
    public ShardOwnership shardOwnership() {
        return shardTables == null ? null : shardTables.current();
    }

    /**
     * Sets the listener for the front doors that RPCs may be forwarded to. It is called on a thread of the fleet: for all
     * tiers now, then for each tier whose front doors change.
     *
     * @param listener called with the tier (1 for the first operator) and all its front doors
     */
    public synchronized void setPartnerEndpointListener(
            BiConsumer<Integer, List<ShardOwnership.PartnerEndpoint>> listener) {
        if (shardTables != null) {
            shardTables.setListener(listener);
        }
    }

    private void runTicks() {
        while (!closed) {
            try {
                synchronized (this) {
                    if (termsReloader != null) {
                        termsReloader.reloadIfChanged(nowUs());
                    }
                    membership.tick(nowUs());
                    publishAndSend();
                    statusLog.logStatusIfDue(membership, connections, nowUs());
                    statusLog.logLatencyMapIfDue(membership, nowUs());
                    if (file.usesLatencyMap()) {
                        zoneLatencies.update(membership.latencyMap(), nowUs());
                    }
                }
                connections.closeStalledConnections(nowUs());
            } catch (RuntimeException e) { // a failed tick must not cancel the timer
                log.rateLimitedEvent("fault", e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
            }
            pause(file.timing().probePeriodUs() / TICKS_PER_PERIOD / 1000);
        }
    }

    /** On the vote writer's thread, once a vote is on disk. */
    private synchronized void voteWritten(Runnable continuation) {
        if (!closed) {
            membership.viewConsensus().onStateDurable(continuation, nowUs());
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

    /** Publishes before it sends: no peer learns that this member has stopped before it has. */
    private void publishAndSend() {
        quotaLeases.publishIfChanged(membership, nowUs());
        publishShardTable();
        for (PendingSend send = pendingSends.poll(); send != null; send = pendingSends.poll()) {
            connections.send(send.to, send.message);
        }
    }

    private void publishShardTable() {
        if (shardTables != null) {
            long now = nowUs();
            shardTables.publish(membership.viewConsensus().lease(), leaving || membership.isInactive(now), now);
        }
    }

    /** Leaves the fleet gracefully: notifies peers immediately, and claims nothing from here on. */
    public void leave() {
        synchronized (this) {
            leaving = true;
            publishShardTable(); // first, so that the shards it acted on are forwarded before peers take them over
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
