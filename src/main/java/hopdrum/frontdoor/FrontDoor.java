package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.Attempt;
import hopdrum.frontdoor.connection.BackendConnection;
import hopdrum.frontdoor.connection.BackendDirectory;
import hopdrum.frontdoor.connection.ClientConnection;
import hopdrum.frontdoor.connection.ConnectionPool;
import hopdrum.frontdoor.connection.InFlightRequest;
import hopdrum.frontdoor.connection.InFlightRequests;
import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.wire.HttpReader;
import hopdrum.frontdoor.wire.MalformedMessageException;
import hopdrum.frontdoor.wire.RequestForwarder;
import hopdrum.frontdoor.wire.RequestHead;
import hopdrum.frontdoor.wire.RingBuffer;
import hopdrum.host.Endpoint;
import hopdrum.host.Host;
import hopdrum.host.Outcome;
import hopdrum.host.QuotaLease;
import hopdrum.host.ShardOwnership;
import hopdrum.host.ZoneLatencies;
import hopdrum.policy.Policy;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.SocketAddress;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * One front door: Policy's Host on sockets. What comes in turns into calls on Policy, and Policy's calls into bytes;
 * nothing is decided here. Policy is never called from inside one of its own calls: what ends there is told by
 * EventLoop.runAfterCurrentEvent().
 */
public final class FrontDoor
        implements Host, ClientListener.Owner, BackendConnection.Owner, CounterClient.Owner, DiscoveryClient.Owner {
    private static final Log LOG = new Log("frontdoor");
    private static final float[] NO_REPORT = {};
    private static final long ACCEPT_ON_US = 500_000;
    private static final long SLOW_US = 2_500_000;
    private static final long NO_LIST_US =
            3_000_000; // one that serves its callers in turn takes seconds after a release
    private static final long SLOW_END_US = 3_500_000;
    private static final long CHECK_US = 250_000;
    private static final long TALLY_US = 10_000_000;
    private static final long NOT_SETTLED_US = 1_000_000;

    private final Config config;
    private final EventLoop loop;
    private final ResourceBudget budget;
    private final BackendDirectory directory;
    private final InFlightRequests rpcs = new InFlightRequests();
    private final RequestHead head;
    private final ClientListener clients;
    private final CounterClient counter;
    private final DiscoveryClient discovery;
    private final PeerMessenger peers;
    private final Policy policy;
    private final Tally tally = new Tally();
    private EventLoop.Timer wake;
    private boolean listKnown;
    private Runnable lost = () -> {};
    private Supplier<QuotaLease> sharers = () -> null;
    private Supplier<ZoneLatencies> distances = () -> null;
    private Supplier<ShardOwnership> shards; // null where no partners share the customers

    /** What happened since the last line that said so. */
    private static final class Tally {
        int taken;
        int ok;
        int refused;
        int aborted;
        int left;

        boolean isEmpty() {
            return taken + ok + refused + aborted + left == 0;
        }
    }

    public FrontDoor(Config config, EventLoop loop) throws IOException {
        this.config = config;
        this.loop = loop;
        budget = new ResourceBudget(config.sockets(), config.memoryMb() * (1L << 20) / 6, SLOW_US);
        directory = new BackendDirectory(config.zones(), config.kinds());
        head = new RequestHead(
                config.methods(),
                config.plans(),
                config.settings().methods(),
                config.settings().gateways(),
                config.maxUnits());
        policy = new Policy(config.settings(), config.seed(), this);
        counter = new CounterClient(loop, config.counter(), config.settings().counterTimeoutUs(), budget, this);
        peers = config.peerListen() == null || !config.settings().gossipAllowed()
                ? null
                : new PeerMessenger(loop, config.peerListen(), config.peers(), policy::gossipReceived);
        long version = known();
        discovery = new DiscoveryClient(loop, config.discovery(), version, budget, this);
        discovery.start();
        clients = new ClientListener(loop, config.listen(), budget, this);
        loop.execute(() -> loop.in(NO_LIST_US, this::openClients)); // its clock stands still till then
        loop.in(CHECK_US, this::check);
        loop.in(TALLY_US, this::tell);
    }

    public SocketAddress address() throws IOException {
        return clients.address();
    }

    /** The list as this front door last had it, and its version; -1 without one. */
    private long known() {
        Map<?, ?> known = config.cachedEndpointList();
        if (known == null || !(known.get("seq") instanceof Double seq)) {
            return -1;
        }
        try {
            List<Endpoint> listed = directory.take(known, true);
            policy.endpointsUpdated(0, Endpoint.UpdateKind.CACHED, listed);
            listKnown = !listed.isEmpty();
            return seq.longValue();
        } catch (IllegalArgumentException e) {
            LOG.warning("the known list cannot be read", e.getMessage());
            return -1;
        }
    }

    /**
     * Guards the drain rule after a start: the known list may be old, and clients who come while the process starts are
     * there before discovery's answer. They wait for it, or for the time after which discovery is down.
     */
    private void openClients() {
        try {
            clients.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void check() {
        if (config.idleTimeoutUs() > 0) {
            for (ConnectionPool pool : directory.pools()) {
                pool.closeIdleSince(nowUs() - config.idleTimeoutUs() * 3 / 4);
            }
        }
        directory.sweep();
        loop.in(CHECK_US, this::check);
    }

    private void tell() {
        if (!tally.isEmpty()) {
            LOG.info(
                    "in 10 s",
                    "taken=" + tally.taken + " ok=" + tally.ok + " refused=" + tally.refused + " aborted="
                            + tally.aborted + " left=" + tally.left + "; now open=" + rpcs.size() + " clients="
                            + budget.clients()
                            + " backends=" + budget.backends());
            tally.taken = tally.ok = tally.refused = tally.aborted = tally.left = 0;
        }
        loop.in(TALLY_US, this::tell);
    }

    /** Who looks where discovery is now, once it has refused or ended the watch. */
    public void onLost(Runnable what) {
        lost = what;
    }

    /** Where a fleet runs: what it has settled and how far zones are is looked at for each RPC that needs it. */
    public void knows(Supplier<QuotaLease> settled, Supplier<ZoneLatencies> far) {
        sharers = settled;
        distances = far;
    }

    /** Where partners share the customers: who owns which shard is looked at for each RPC. */
    public void shares(Supplier<ShardOwnership> settled) {
        shards = settled;
    }

    /** The front doors of another tier, all that are there; on the loop's thread. */
    public void partners(int tier, List<ShardOwnership.PartnerEndpoint> doors) {
        policy.endpointsUpdated(tier, Endpoint.UpdateKind.COMPLETE, directory.partners(tier, doors));
    }

    /** Before anything is settled nobody knows who owns what. */
    @Override
    public long ownerTier(long id, long customer) {
        if (shards == null) {
            return 0;
        }
        ShardOwnership settled = shards.get();
        return settled == null ? -NOT_SETTLED_US : settled.owner(customer, rpcs.get(id).passedOn, nowUs());
    }

    @Override
    public long ownershipAgeUs(long customer) {
        ShardOwnership settled = shards == null ? null : shards.get();
        return settled == null ? Host.super.ownershipAgeUs(customer) : settled.ownershipAgeUs(customer, nowUs());
    }

    @Override
    public ZoneLatencies zoneLatencies() {
        return distances.get();
    }

    @Override
    public QuotaLease quotaLease() {
        return sharers.get();
    }

    /** SIGHUP: discovery and the counter are followed to where they are now; the rest takes a new start. */
    public void follow(Config fresh) {
        LOG.info("a new configuration", "discovery " + fresh.discovery() + ", counter " + fresh.counter());
        discovery.moveTo(fresh.discovery());
        counter.moveTo(fresh.counter());
    }

    /** SIGTERM: not ready, accepting on for a while, then what was taken is finished. */
    public void stop() {
        LOG.info("stopping", rpcs.size() + " RPCs under way");
        clients.stop();
        loop.in(ACCEPT_ON_US, () -> {
            clients.stopAccepting();
            stopIfEmpty();
        });
        loop.in(
                SLOW_END_US,
                () -> LOG.info("not ended yet", rpcs.size() + " RPCs under way, clients=" + budget.clients()));
    }

    private void stopIfEmpty() {
        if (clients.isEmpty()) {
            loop.stop();
        } else {
            loop.in(10_000, this::stopIfEmpty);
        }
    }

    /** All sockets are given back. */
    public void close() throws IOException {
        clients.close();
        discovery.close();
        counter.close();
        if (peers != null) {
            peers.close();
        }
        for (ConnectionPool pool : directory.pools()) {
            pool.closeAll();
        }
    }

    // ---- What comes in ----

    @Override
    public boolean isReady() {
        return listKnown;
    }

    @Override
    public void take(ClientConnection client) throws MalformedMessageException {
        head.read(client.bytes(), client.message());
        InFlightRequest rpc = rpcs.open(client, head.traceId);
        if (rpc == null) {
            throw new MalformedMessageException(409, "the X-Trace-Id is another RPC's that is open");
        }
        client.took(rpc);
        tally.taken++;
        long leftUs = Math.max(1, head.timeLeftMs * 1000 - client.ageUs());
        rpc.expiresAtUs = nowUs() + leftUs;
        if (shards != null) { // any front door takes any customer: its gateways are all that its shard's owner has
            rpc.passedOn = RequestForwarder.isForwarded(client.bytes(), client.message());
            head.firstGateway = 0;
            head.gateways = config.settings().gateways();
        }
        rpc.handle = policy.requestReceived(
                rpc.id, head.method, head.customer, head.plan, head.units, head.firstGateway, head.gateways, leftUs);
        rpcs.closeIfOver(rpc);
    }

    @Override
    public void left(ClientConnection client) {
        InFlightRequest rpc = client.rpc();
        rpc.client = null;
        tally.left++;
        if (rpc.handle == null) {
            rpcs.drop(rpc); // taking it failed
            return;
        }
        rpc.handle.clientLeft();
        rpcs.closeIfOver(rpc);
    }

    @Override
    public void pass(Attempt attempt, RingBuffer bytes, HttpReader answer) {
        ClientConnection client = attempt.rpc.client;
        if (client != null) {
            attempt.rpc.client = null;
            attempt.passed = true;
            tally.ok += answer.status() == 200 ? 1 : 0;
            tally.refused += answer.status() == 429 || answer.status() == 503 ? 1 : 0;
            tally.aborted += answer.status() == 500 ? 1 : 0;
            if (!client.answer(bytes, answer)) {
                client.close(); // it has not taken the answers before this one
            }
        }
    }

    @Override
    public void ended(Attempt attempt, Outcome outcome, float[] report) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.timeOut.cancel();
        InFlightRequest rpc = attempt.rpc;
        rpc.handle.attemptEnded(
                attempt.number, outcome, nowUs() - attempt.sentUs, outcome == Outcome.OK || attempt.passed, 0, report);
        rpcs.closeIfOver(rpc);
    }

    private void timedOut(Attempt attempt) {
        if (!attempt.ended) {
            giveUp(attempt);
            ended(attempt, Outcome.TIMED_OUT, NO_REPORT);
        }
    }

    private static void giveUp(Attempt attempt) {
        if (attempt.connection != null) {
            attempt.connection.giveUp();
            attempt.connection = null;
        }
    }

    @Override
    public void released(BackendConnection connection) {
        budget.backend(-1);
    }

    @Override
    public void counted(long name, Outcome outcome, double total, long tookUs) {
        policy.counterAnswered(name, outcome, total, tookUs);
    }

    @Override
    public void told(Map<?, ?> message, boolean whole) {
        List<Endpoint> listed = directory.take(message, whole);
        listKnown |= !listed.isEmpty();
        if (whole || !listed.isEmpty()) {
            policy.endpointsUpdated(0, whole ? Endpoint.UpdateKind.COMPLETE : Endpoint.UpdateKind.INCREMENTAL, listed);
        }
        openClients();
    }

    @Override
    public void lost() {
        lost.run();
    }

    // ---- What Policy asks ----

    @Override
    public long nowUs() {
        return loop.nowUs();
    }

    @Override
    public void startAttempt(long id, long backend, long timeOutUs, long beginWithinUs) {
        InFlightRequest rpc = rpcs.get(id);
        Attempt attempt = new Attempt(rpc, nowUs(), timeOutUs, beginWithinUs);
        rpc.attempts.add(attempt);
        attempt.timeOut = loop.in(timeOutUs, () -> timedOut(attempt));
        ConnectionPool pool = directory.get(backend);
        if (rpc.client == null || pool == null) {
            loop.runAfterCurrentEvent(() -> ended(attempt, Outcome.INVALID_REQUEST, NO_REPORT));
            return;
        }
        BackendConnection connection = pool.takeIdle(nowUs());
        try {
            if (connection == null) {
                connection = connect(pool);
            }
        } catch (IOException e) {
            LOG.warning("no connection to a backend", e.getMessage());
        }
        if (connection == null || !connection.send(attempt)) {
            loop.runAfterCurrentEvent(() -> ended(attempt, Outcome.CONNECT_FAILED, NO_REPORT));
        }
    }

    private BackendConnection connect(ConnectionPool pool) throws IOException {
        if (!budget.backendFits()) {
            directory.closeLongestIdle();
        }
        if (!budget.backendFits()) {
            LOG.warning("no descriptor or memory left for more connections to backends", null);
            return null;
        }
        BackendConnection connection = new BackendConnection(
                loop, pool, config.connectTimeoutUs(), config.settings().reportFields(), budget, this);
        budget.backend(1);
        pool.opened(connection);
        return connection;
    }

    @Override
    public void cancelAttempt(long id, int number) {
        InFlightRequest rpc = rpcs.get(id);
        Attempt attempt = rpc == null || number >= rpc.attempts.size() ? null : rpc.attempts.get(number);
        if (attempt != null && !attempt.ended) {
            giveUp(attempt);
            loop.runAfterCurrentEvent(() -> ended(attempt, Outcome.CANCELLED, NO_REPORT));
        }
    }

    @Override
    public void reject(long id, long retryAfterUs) {
        tally.refused++;
        answer(id, retryAfterUs > 0 ? 429 : 503, retryAfterUs);
    }

    @Override
    public void abort(long id) {
        tally.aborted++;
        answer(id, 500, 0);
    }

    private void answer(long id, int status, long retryAfterUs) {
        InFlightRequest rpc = rpcs.get(id);
        if (rpc != null && rpc.client != null) {
            ClientConnection client = rpc.client;
            rpc.client = null;
            client.answer(status, retryAfterUs, false);
        }
        if (rpc != null && rpc.handle != null) { // else take() looks when it has the handle
            rpcs.closeIfOver(rpc);
        }
    }

    @Override
    public void addToCounter(long name, double units, long timeToLiveUs) {
        counter.add(name, units, timeToLiveUs / 1000);
    }

    @Override
    public void sendToPeer(int gateway, byte[] message) {
        if (peers != null) {
            peers.tell(gateway, message);
        }
    }

    @Override
    public void scheduleWakeUp(long delayUs) {
        if (wake != null) {
            wake.cancel();
        }
        wake = loop.in(delayUs, policy());
    }

    private Runnable policy() {
        return () -> policy.wakeUp();
    }

    /** The watch is kept up from the start, whether it has to be asked for or not. */
    @Override
    public void pollEndpointList() {}
}
