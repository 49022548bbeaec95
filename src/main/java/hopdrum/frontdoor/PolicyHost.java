package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.ClientConnection;
import hopdrum.frontdoor.connection.InFlightRequest;
import hopdrum.frontdoor.connection.InFlightRequests;
import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.host.CustomerOwner;
import hopdrum.host.Host;
import hopdrum.host.QuotaLease;
import hopdrum.host.ShardOwnership;
import hopdrum.host.ZoneLatencies;
import hopdrum.policy.Policy;
import java.io.IOException;
import java.net.SocketAddress;

/** Implements Policy's host on sockets and timers. Owns Policy, the counter client and the peer messenger. */
final class PolicyHost implements Host {
    private static final long UNSETTLED_OWNERSHIP_RETRY_US = 1_000_000;

    private final EventLoop loop;
    private final InFlightRequests requests;
    private final AttemptDispatcher attempts;
    private final RequestTally tally;
    private final FleetSuppliers fleet;
    private final Policy policy;
    private final CounterClient counter;
    private final PeerMessenger peers; // null if gateways exchange no messages
    private EventLoop.Timer wakeUp;

    PolicyHost(
            Config config,
            EventLoop loop,
            ResourceBudget budget,
            InFlightRequests requests,
            AttemptDispatcher attempts,
            RequestTally tally,
            FleetSuppliers fleet)
            throws IOException {
        this.loop = loop;
        this.requests = requests;
        this.attempts = attempts;
        this.tally = tally;
        this.fleet = fleet;
        policy = new Policy(config.settings(), config.seed(), this);
        counter = new CounterClient(
                loop, config.counter(), config.settings().counterTimeoutUs(), budget, policy::counterAnswered);
        peers = config.peerListen() == null || !config.settings().gossipAllowed()
                ? null
                : new PeerMessenger(loop, config.peerListen(), config.peers(), policy::gossipReceived);
    }

    /** Returns the Policy that this host serves. */
    Policy policy() {
        return policy;
    }

    /** Changes the counter's address; null if there is no counter any more. */
    void updateCounterAddress(SocketAddress address) {
        counter.updateAddress(address);
    }

    /** Closes the connections to the counter and the socket to the peers. */
    void close() {
        counter.close();
        if (peers != null) {
            peers.close();
        }
    }

    @Override
    public long nowUs() {
        return loop.nowUs();
    }

    @Override
    public void startAttempt(long requestId, long backendId, long timeoutUs, long writeWithinUs) {
        attempts.startAttempt(requestId, backendId, timeoutUs, writeWithinUs);
    }

    @Override
    public void cancelAttempt(long requestId, int attemptNumber) {
        attempts.cancelAttempt(requestId, attemptNumber);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        tally.requestRejected();
        respond(requestId, retryAfterUs > 0 ? 429 : 503, retryAfterUs);
    }

    @Override
    public void abort(long requestId) {
        tally.requestAborted();
        respond(requestId, 500, 0);
    }

    private void respond(long requestId, int status, long retryAfterUs) {
        InFlightRequest request = requests.get(requestId);
        if (request == null) {
            return;
        }
        ClientConnection client = request.detachClient();
        if (client != null) {
            client.respond(status, retryAfterUs, false);
        }
        if (request.handle() != null) { // else RequestHandler does this once it has the handle
            requests.removeIfDone(request, loop.nowUs());
        }
    }

    @Override
    public void addToCounter(long name, double units, long timeToLiveUs) {
        counter.add(name, units, timeToLiveUs / 1000);
    }

    @Override
    public void sendToPeer(int gateway, byte[] message) {
        if (peers != null) {
            peers.send(gateway, message);
        }
    }

    @Override
    public void scheduleWakeUp(long delayUs) {
        if (wakeUp != null) {
            wakeUp.cancel();
        }
        wakeUp = loop.scheduleAfter(delayUs, this::wakeUpPolicy);
    }

    private void wakeUpPolicy() {
        policy.wakeUp();
    }

    /** Returns an unknown owner until the partners have settled who owns which shard. */
    @Override
    public CustomerOwner customerOwner(long requestId, long customer) {
        if (!fleet.hasPartners()) {
            return CustomerOwner.THIS_TIER;
        }
        ShardOwnership ownership = fleet.shardOwnership();
        return ownership == null
                ? CustomerOwner.unknown(UNSETTLED_OWNERSHIP_RETRY_US)
                : ownership.owner(customer, requests.get(requestId).isForwardedByPartner(), nowUs());
    }

    @Override
    public long ownershipAgeUs(long customer) {
        ShardOwnership ownership = fleet.shardOwnership();
        return ownership == null ? Host.super.ownershipAgeUs(customer) : ownership.ownershipAgeUs(customer, nowUs());
    }

    @Override
    public ZoneLatencies zoneLatencies() {
        return fleet.zoneLatencies();
    }

    @Override
    public QuotaLease quotaLease() {
        return fleet.quotaLease();
    }

    /** Does nothing: discovery's watch, which is kept open from the start, delivers the endpoint list unasked. */
    @Override
    public void pollEndpointList() {}
}
