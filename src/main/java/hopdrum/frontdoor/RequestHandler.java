package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.ClientCloseReason;
import hopdrum.frontdoor.connection.ClientConnection;
import hopdrum.frontdoor.connection.InFlightRequest;
import hopdrum.frontdoor.connection.InFlightRequests;
import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.wire.MalformedMessageException;
import hopdrum.frontdoor.wire.RequestForwarder;
import hopdrum.frontdoor.wire.RequestHead;
import hopdrum.host.Method;
import hopdrum.policy.Policy;
import java.util.List;

/** Passes client requests on to Policy and notifies Policy of clients that disconnect. */
final class RequestHandler implements ClientListener.RequestListener {
    private static final Log LOG = new Log("clients");
    private static final long MAX_AGE_WITH_LITTLE_TIME_US = 250_000; // still in time for the response

    private final EventLoop loop;
    private final Policy policy;
    private final InFlightRequests requests;
    private final RequestTally tally;
    private final FleetSuppliers fleet;
    private final EndpointUpdater endpoints;
    private final RequestHead head; // the head of the request that is being handled
    private final List<Method> methods;
    private final int gateways;
    private long latestAnswerAtUs = Long.MAX_VALUE;

    RequestHandler(
            Config config,
            EventLoop loop,
            Policy policy,
            InFlightRequests requests,
            RequestTally tally,
            FleetSuppliers fleet,
            EndpointUpdater endpoints) {
        this.loop = loop;
        this.policy = policy;
        this.requests = requests;
        this.tally = tally;
        this.fleet = fleet;
        this.endpoints = endpoints;
        gateways = config.settings().gatewayCount();
        methods = config.settings().methods();
        head = new RequestHead(config.methods(), config.plans(), methods, gateways, config.maxUnits());
    }

    /** Sets a time by which requests have to be answered, whatever their clients allow. */
    void setLatestAnswerTime(long atUs) {
        latestAnswerAtUs = atUs;
    }

    @Override
    public boolean isReady() {
        return endpoints.hasEndpoints();
    }

    /**
     * Leaves the request half of the time that its client still allows. One that will be rejected, or has little time, may
     * wait longer: else a client could send such requests one after another at full speed.
     */
    @Override
    public long maxDeferralUs(ClientConnection client) {
        long timeLeftUs = 0;
        try {
            head.read(client.messageBuffer(), client.message());
            timeLeftUs = head.timeLeftMs * 1000 - client.messageAgeUs();
        } catch (MalformedMessageException e) {
            timeLeftUs = 0; // it is rejected once it is handled
        }
        long deferralUs = Math.max(timeLeftUs / 2, MAX_AGE_WITH_LITTLE_TIME_US - client.messageAgeUs());
        return Math.min(deferralUs, latestAnswerAtUs - loop.nowUs());
    }

    @Override
    public void requestReceived(ClientConnection client) throws MalformedMessageException {
        head.read(client.messageBuffer(), client.message());
        long statedUs = head.timeLeftMs * 1000 - client.messageAgeUs();
        long remainingUs = Math.max(1, Math.min(statedUs, latestAnswerAtUs - loop.nowUs()));
        boolean hasPartners = fleet.hasPartners();
        boolean repeatable = isRepeatable(methods.get(head.method));
        if (!repeatable && requests.mustNotRunAgain(head.traceId, loop.nowUs())) {
            throw new MalformedMessageException(409, "a request with the same X-Trace-Id may have been executed");
        }
        InFlightRequest request = requests.add(
                client,
                head.traceId,
                loop.nowUs(),
                loop.nowUs() + remainingUs,
                repeatable,
                hasPartners && RequestForwarder.isForwarded(client.messageBuffer(), client.message()));
        if (request == null) {
            throw new MalformedMessageException(409, "another request in flight has the same X-Trace-Id");
        }
        client.attachRequest(request);
        tally.requestReceived();
        // With partners, any front door accepts any customer. The customer's gateways are all of its shard owner's.
        request.setHandle(policy.requestReceived(
                request.id(),
                head.method,
                head.customer,
                head.plan,
                head.units,
                hasPartners ? 0 : head.firstGateway,
                hasPartners ? gateways : head.gatewayCount,
                remainingUs));
        requests.removeIfDone(request, loop.nowUs());
    }

    /** Whether a request may run again wherever it has run before. */
    private static boolean isRepeatable(Method method) {
        return method.retrySafety() == Method.RetrySafety.IDEMPOTENT
                || (method.retrySafety() == Method.RetrySafety.DEDUPLICATED
                        && method.deduplicationScope() == Method.DeduplicationScope.ALL);
    }

    @Override
    public void excessRequestRejected() {
        LOG.info("rejecting pipelined requests that exceed the receive buffer", null);
        tally.requestReceived();
        tally.requestRejected();
    }

    @Override
    public void connectionClosed(ClientCloseReason reason) {
        tally.clientConnectionClosed(reason);
    }

    @Override
    public void clientDisconnected(ClientConnection client) {
        InFlightRequest request = client.request();
        LOG.info("a client left before its response", request.describe(loop.nowUs()));
        request.detachClient();
        tally.clientDisconnected();
        if (request.handle() == null) {
            requests.remove(request, loop.nowUs()); // Policy failed to return a handle
            return;
        }
        request.handle().clientLeft();
        requests.removeIfDone(request, loop.nowUs());
    }
}
