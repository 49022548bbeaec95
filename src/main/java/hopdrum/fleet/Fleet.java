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
 * Runs this front door as a member of its fleet. A fleet member owns the peer connections, the store and the timer
 * thread, and publishes the settled state as immutable snapshots. Neither the fleet member nor the front door's event
 * loop ever waits for the other. Public methods may be called from any thread.
 */
public final class Fleet implements AutoCloseable, Supplier<QuotaLease> {
    private static final int TICKS_PER_PERIOD = 10;
    private static final int STACK_BYTES = 256 << 10;

    private final FleetFile settings;
    private final Member self;
    private final FleetLog log;
    private final Store store;
    private final PeerConnections connections;
    private final Membership membership; // guarded by this
    private final ShardCoordinator shardCoordinator; // guarded by this; null if no shards are shared
    private final ShardTablePublisher shardTables; // guarded by this; null if no shards are shared
    private final TermsFileReloader termsReloader; // guarded by this; null if no shards or no terms file
    private final Deque<PendingSend> pendingSends = new ArrayDeque<>(); // guarded by this; see publishAndSend()
    private final Thread tickThread;
    private final VoteWriter voteWriter;
    private final ZoneLatencyPublisher zoneLatencies;
    private final FleetStatusLog statusLog;
    private final QuotaLeasePublisher quotaLeases;
    private boolean leaving; // guarded by this
    private volatile boolean closed;

    private record PendingSend(String to, Message message) {}

    /** Decides on the hellos of peers, and handles their messages under the lock of the fleet member. */
    private final class PeerMessageHandler implements PeerConnections.MessageHandler {
        @Override
        public Optional<String> rejectionReason(Message.Hello hello) {
            return PeerAdmission.rejectionReason(settings, hello).or(() -> {
                synchronized (Fleet.this) {
                    Member knownMember = membership
                            .failureDetector()
                            .latestStart(hello.sender().name());
                    boolean isSameStart = knownMember != null
                            && knownMember.start() == hello.sender().start();
                    return isSameStart && !knownMember.equals(hello.sender())
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

    private Fleet(FleetFile settings, long termsModifiedAtMs, int gateway, long seed, long loopOffsetUs)
            throws IOException {
        this.settings = settings;
        store = new Store(settings.storeFolder());
        try {
            Store.DurableState stored = store.read();
            long start = Math.max(System.currentTimeMillis() * 1000, stored == null ? 0 : stored.lastStart() + 1);
            SplittableRandom random = new SplittableRandom(seed ^ start); // several members may have the same seed
            long voter = stored == null ? random.nextLong() | 1 : stored.voter();
            self = new Member(
                    settings.name(),
                    start,
                    voter,
                    settings.operator(),
                    settings.site(),
                    gateway,
                    settings.advertisedAddress(),
                    settings.partnerAddress());
            log = new FleetLog(settings.logFile(), self.name(), self.start());
            logStart(gateway, stored != null);
            store.write(stateAtStart(stored, voter, start));
            connections = openConnections(random.split());
            shardCoordinator = settings.shardCount() == 0 ? null : newShardCoordinator(random.split());
            shardTables = shardCoordinator == null
                    ? null
                    : new ShardTablePublisher(shardCoordinator, settings.operators(), loopOffsetUs);
            termsReloader = shardCoordinator == null || settings.termsFile() == null
                    ? null
                    : newTermsReloader(termsModifiedAtMs);
            voteWriter = new VoteWriter(store, log, () -> closed, this::onVoteWritten);
            membership = newMembership(stored, random.split());
            tickThread = new Thread(null, this::runTicks, "fleet-view", STACK_BYTES);
            tickThread.setDaemon(true);
            zoneLatencies = new ZoneLatencyPublisher(self.site());
            statusLog = new FleetStatusLog(self, log, settings.timing().probePeriodUs());
            quotaLeases = new QuotaLeasePublisher(self.operator(), log, loopOffsetUs);
        } catch (IOException | RuntimeException e) {
            store.close();
            throw e;
        }
    }

    private void logStart(int gateway, boolean stateRestored) {
        log.event(
                "starts",
                "fleet",
                settings.fleetName(),
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
                stateRestored);
        if (store.damage() != null) {
            log.event("store_damaged", "why", store.damage());
        }
    }

    /** Returns the state to store at this start: the restored state, if any, with the number of this start. */
    private static Store.DurableState stateAtStart(Store.DurableState stored, long voter, long start) {
        return stored == null
                ? new Store.DurableState(voter, start, View.NONE, null, null, null)
                : new Store.DurableState(
                        voter, start, stored.view(), stored.promised(), stored.acceptedIn(), stored.accepted());
    }

    private PeerConnections openConnections(SplittableRandom random) throws IOException {
        int colon = settings.listenAddress().lastIndexOf(':');
        return new PeerConnections(
                new InetSocketAddress(
                        settings.listenAddress().substring(0, colon),
                        Integer.parseInt(settings.listenAddress().substring(colon + 1))),
                new Message.Hello(
                        Message.VERSION,
                        settings.fleetName(),
                        settings.shardCount(),
                        settings.shardCount() == 0 ? 0 : settings.maxAloneMs(),
                        self),
                random,
                new PeerMessageHandler(),
                log);
    }

    private ShardCoordinator newShardCoordinator(SplittableRandom random) {
        return new ShardCoordinator(
                self,
                settings.shardCount(),
                settings.maxAloneMs(),
                settings.timing(),
                random,
                this::queueSend,
                log::event,
                System::currentTimeMillis);
    }

    private TermsFileReloader newTermsReloader(long termsModifiedAtMs) {
        return new TermsFileReloader(
                settings.termsFile(), shardCoordinator, log, settings.timing().probePeriodUs(), termsModifiedAtMs);
    }

    private Membership newMembership(Store.DurableState stored, SplittableRandom random) {
        return new Membership(
                self,
                settings.seedAddresses(),
                settings.founders(),
                stored,
                settings.timing(),
                random,
                this::queueSend,
                voteWriter::enqueue,
                shardCoordinator,
                log::event,
                nowUs());
    }

    /**
     * Starts a fleet member and its threads.
     *
     * @param settings the settings from the fleet file
     * @param terms the terms read from this operator's terms file; unused if no shards are shared
     * @param termsModifiedAtMs when the terms file was last written, milliseconds of the wall clock; 0 if there is none
     * @param gateway this front door's gateway number in its operator's tier
     * @param seed the seed of this member's random choices, combined with its start number
     * @param loopOffsetUs the clock of the front door's event loop minus the machine's monotonic clock, microseconds
     * @return the running fleet member; closing it ends its threads
     * @throws IOException if the store, the log or the address to listen on cannot be used; the message is one line
     */
    public static Fleet start(
            FleetFile settings, AgreementTerms terms, long termsModifiedAtMs, int gateway, long seed, long loopOffsetUs)
            throws IOException {
        Fleet fleet = new Fleet(settings, termsModifiedAtMs, gateway, seed, loopOffsetUs);
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
     * Returns the gateways that share this operator's quotas, and until when this gateway may claim its share; does not
     * block.
     *
     * @return the latest quota lease
     */
    @Override
    public QuotaLease get() {
        return quotaLeases.currentLease();
    }

    /**
     * Sets the zones of backends whose latencies {@link #zoneLatencies} returns from now on.
     *
     * @param names the names of the zones, in the order of the front door's settings
     */
    public synchronized void setBackendZones(List<String> names) {
        zoneLatencies.setZones(names);
    }

    /**
     * Returns the latencies from this front door's site to the zones of backends; does not block.
     *
     * @return the latencies; null if any zone lacks a confident estimate, in which case the choice of backends must
     *     ignore latencies
     */
    public ZoneLatencies zoneLatencies() {
        return zoneLatencies.currentLatencies();
    }

    /**
     * Returns whether customers, divided into shards, are shared with partners.
     *
     * @return true if the fleet file sets a number of shards
     */
    public boolean sharesCustomers() {
        return shardCoordinator != null;
    }

    /**
     * Returns the latest known ownership of shards; does not block.
     *
     * @return the ownership; null until shards are assigned
     */
    public ShardOwnership shardOwnership() {
        return shardTables == null ? null : shardTables.currentOwnership();
    }

    /**
     * Sets the listener for the partners' front doors to which requests may be forwarded. The listener is called at
     * once for each tier that has such front doors, then on a thread of the fleet member for each tier whose front
     * doors change.
     *
     * @param listener called with a tier (1 for the first operator) and all front doors of that tier; must not block
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
                    if (settings.usesLatencyMap()) {
                        zoneLatencies.updateLatencies(membership.latencyMap(), nowUs());
                    }
                }
                connections.closeStalledConnections(nowUs());
            } catch (RuntimeException e) { // a failed tick must not end the timer thread
                log.rateLimitedEvent("fault", e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
            }
            sleep(settings.timing().probePeriodUs() / TICKS_PER_PERIOD / 1000);
        }
    }

    /** Called on the vote writer's thread once a vote is on disk. */
    private synchronized void onVoteWritten(Runnable continuation) {
        if (!closed) {
            membership.viewConsensus().onStateDurable(continuation, nowUs());
            publishAndSend();
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(1, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void queueSend(String to, Message message) {
        pendingSends.add(new PendingSend(to, message));
    }

    /**
     * Publishes the present state, then sends the queued messages. The order matters: when a peer learns that this
     * member has stopped acting, this member must have stopped.
     */
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
            shardTables.publishOwnership(
                    membership.viewConsensus().lease(), leaving || membership.isInactive(now), now);
        }
    }

    /** Leaves the fleet gracefully: notifies peers at once, and claims no quotas or shards from now on. */
    public void leave() {
        synchronized (this) {
            leaving = true;
            publishShardTable(); // first: requests must be forwarded before peers take over the shards
            membership.leave(nowUs());
            publishAndSend();
        }
    }

    /**
     * Ends all threads, stops listening and closes the store and the log.
     *
     * @throws IOException if the store cannot be closed
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
