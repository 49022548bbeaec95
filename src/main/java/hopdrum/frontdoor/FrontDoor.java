package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.BackendDirectory;
import hopdrum.frontdoor.connection.ConnectionPool;
import hopdrum.frontdoor.connection.DiscoveredBackend;
import hopdrum.frontdoor.connection.InFlightRequests;
import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.lifecycle.StreamConnection;
import hopdrum.host.QuotaLease;
import hopdrum.host.ShardOwnership;
import hopdrum.host.ZoneLatencies;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * A front door: builds the parts that serve client requests and runs them until the graceful shutdown. All methods must
 * be called on the event loop's thread, or before the loop runs.
 */
public final class FrontDoor {
    private static final Log LOG = new Log("frontdoor");
    private static final long TRANSFER_TIMEOUT_US = 2_500_000;
    private static final long BYTES_PER_MIB = 1 << 20;
    private static final long BUFFER_MEMORY_DIVISOR = 6; // buffers get at most one sixth of the process's memory
    private static final long BUFFER_HEAP_DIVISOR = 3; // and at most one third of the heap
    // After a release discovery may serve its clients one by one.
    private static final long DISCOVERY_TIMEOUT_US = 3_000_000;
    private static final long HOUSEKEEPING_INTERVAL_US = 250_000;
    private static final long SHUTDOWN_POLL_INTERVAL_US = 10_000;
    private static final long SLOW_SHUTDOWN_LOG_DELAY_US = 3_500_000;

    private final Config config;
    private final EventLoop loop;
    private final ResourceBudget budget;
    private final BackendDirectory directory;
    private final InFlightRequests requests = new InFlightRequests();
    private final FleetSuppliers fleet = new FleetSuppliers();
    private final PolicyHost host;
    private final EndpointUpdater endpoints;
    private final DiscoveryClient discovery;
    private final RequestHandler requestHandler;
    private final ClientListener clients;
    private Runnable discoveryLostListener = () -> {};

    /**
     * Binds the listening socket and connects to discovery. Clients are accepted once the loop runs and discovery has
     * responded or its response is overdue.
     *
     * @throws IOException if a socket cannot be opened or bound
     */
    public FrontDoor(Config config, EventLoop loop) throws IOException {
        this.config = config;
        this.loop = loop;
        budget = new ResourceBudget(config.maxDescriptors(), maxBufferBytes(config), TRANSFER_TIMEOUT_US);
        directory = new BackendDirectory(config.zones(), config.kinds());
        RequestTally tally = new RequestTally(loop, requests, budget);
        AttemptDispatcher attempts = new AttemptDispatcher(config, loop, directory, requests, budget, tally);
        host = new PolicyHost(config, loop, budget, requests, attempts, tally, fleet);
        endpoints = new EndpointUpdater(directory, host.policy());
        long version = endpoints.applyCached(config.cachedEndpointList());
        discovery = new DiscoveryClient(loop, config.discovery(), version, budget, new DiscoveryClient.Listener() {
            @Override
            public void endpointListReceived(List<DiscoveredBackend> backends, boolean complete) {
                FrontDoor.this.endpointListReceived(backends, complete);
            }

            @Override
            public void watchLost() {
                discoveryLostListener.run();
            }
        });
        discovery.start();
        requestHandler = new RequestHandler(config, loop, host.policy(), requests, tally, fleet, endpoints);
        clients = new ClientListener(loop, config.listen(), budget, requestHandler);
        new BufferReclaimer(loop, budget.memory(), this::openConnections);
        // The timeout starts when the loop runs: the loop's clock does not advance before.
        loop.execute(() -> loop.scheduleAfter(DISCOVERY_TIMEOUT_US, this::startAccepting));
        loop.scheduleAfter(HOUSEKEEPING_INTERVAL_US, this::closeUnusedConnections);
        tally.start();
    }

    /** The buffers are on the heap, whose size the command line sets and not the configuration. */
    private static long maxBufferBytes(Config config) {
        return Math.min(
                config.memoryMb() * BYTES_PER_MIB / BUFFER_MEMORY_DIVISOR,
                Runtime.getRuntime().maxMemory() / BUFFER_HEAP_DIVISOR);
    }

    private List<StreamConnection> openConnections() {
        List<StreamConnection> connections = new ArrayList<>();
        clients.collectConnections(connections);
        directory.collectConnections(connections);
        return connections;
    }

    /**
     * Returns the address on which clients are served.
     *
     * @throws IOException if the listening socket is closed
     */
    public SocketAddress address() throws IOException {
        return clients.address();
    }

    /** Sets the listener that runs whenever discovery has refused or ended the watch, or does not respond. */
    public void setDiscoveryLostListener(Runnable listener) {
        discoveryLostListener = listener;
    }

    /** Sets the suppliers of the fleet's quota lease and zone latencies, called for each request that needs them. */
    public void setFleetSuppliers(Supplier<QuotaLease> quotaLease, Supplier<ZoneLatencies> zoneLatencies) {
        fleet.setFleetSuppliers(quotaLease, zoneLatencies);
    }

    /** Sets the supplier of the shard owners, called for each request. Unset if no partners share the customers. */
    public void setShardOwnershipSupplier(Supplier<ShardOwnership> ownership) {
        fleet.setShardOwnershipSupplier(ownership);
    }

    /** Applies the complete list of the partner front doors of another tier. */
    public void updatePartnerEndpoints(int tier, List<ShardOwnership.PartnerEndpoint> partners) {
        endpoints.applyPartners(tier, partners);
    }

    void endpointListReceived(List<DiscoveredBackend> backends, boolean complete) {
        endpoints.applyDiscovered(backends, complete);
        startAccepting();
    }

    /**
     * Starts accepting clients, once discovery has responded or its response is overdue. The cached list may name
     * backends that have been drained since, and requests of clients accepted earlier would be sent there.
     */
    private void startAccepting() {
        try {
            clients.startAccepting();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void closeUnusedConnections() {
        if (config.idleTimeoutUs() > 0) {
            for (ConnectionPool pool : directory.pools()) {
                pool.closeIdleSince(loop.nowUs() - config.idleTimeoutUs() * 3 / 4);
            }
        }
        directory.removeWithdrawn();
        loop.scheduleAfter(HOUSEKEEPING_INTERVAL_US, this::closeUnusedConnections);
    }

    /** Applies the addresses of discovery and the counter in a new configuration. Other changes need a restart. */
    public void reload(Config reloaded) {
        LOG.info(
                "applying a new configuration",
                "discovery " + reloaded.discovery() + ", counter " + reloaded.counter());
        discovery.updateAddress(reloaded.discovery());
        host.updateCounterAddress(reloaded.counter());
    }

    /**
     * Starts the graceful shutdown: the front door reports that it is not ready, accepts connections for another 0.5 s,
     * answers every request that it has read, and then stops the loop.
     */
    public void startGracefulShutdown() {
        LOG.info("stopping", requests.size() + " requests in flight");
        ShutdownSchedule schedule =
                ShutdownSchedule.startingAt(loop.nowUs(), config.settings().methods());
        requestHandler.setLatestAnswerTime(schedule.latestAnswerAtUs());
        clients.startDraining();
        loop.scheduleAt(schedule.stopAcceptingAtUs(), () -> {
            clients.stopAccepting();
            stopLoopOnceDrained();
        });
        loop.scheduleAt(schedule.stopReadingAtUs(), clients::stopReading);
        loop.scheduleAfter(
                SLOW_SHUTDOWN_LOG_DELAY_US,
                () -> LOG.info(
                        "shutdown is not complete yet",
                        requests.size() + " requests in flight, clients=" + budget.clientConnections()));
    }

    private void stopLoopOnceDrained() {
        if (clients.isEmpty()) {
            loop.stop();
        } else {
            loop.scheduleAfter(SHUTDOWN_POLL_INTERVAL_US, this::stopLoopOnceDrained);
        }
    }

    /**
     * Closes all sockets. To be called after the loop has ended.
     *
     * @throws IOException if the listening socket does not close cleanly
     */
    public void close() throws IOException {
        clients.close();
        discovery.close();
        host.close();
        for (ConnectionPool pool : directory.pools()) {
            pool.closeAll();
        }
    }
}
