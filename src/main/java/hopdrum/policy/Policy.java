package hopdrum.policy;

import hopdrum.host.CustomerOwner;
import hopdrum.host.Endpoint;
import hopdrum.host.Host;
import hopdrum.host.Outcome;
import hopdrum.host.Settings;
import hopdrum.policy.TrackedRequest.Stage;
import hopdrum.policy.backends.MethodStats;
import hopdrum.policy.context.PolicyContext;
import hopdrum.policy.quota.CustomerQuota;
import hopdrum.policy.quota.QuotaTable;
import java.util.List;

/**
 * Makes all decisions of one gateway. A front door creates one Policy per start, for use by one thread. A new request
 * enters through {@link #requestReceived}, which returns its handle; later events of that request are calls on the
 * handle, and all other events are calls on the Policy. The Policy acts by calling {@link Host} while it handles an
 * event. {@link #advance} shows the ordinary path of a request and is the best place to start reading. Times are in
 * microseconds of the host's clock. Nothing here depends on the name of a deployment, method or customer.
 */
public final class Policy {
    private static final long SWEEP_INTERVAL_US = 2_000_000;
    private static final long ENDPOINT_POLL_INTERVAL_US = 1_000_000;

    private final PolicyContext context;
    private final Host host;
    private final QuotaTable quotas;
    private final Dispatcher dispatcher;
    private final MethodStats[] methodStats;
    private final TrackedRequest.Listener requestEvents = new RequestEvents();
    private long requestsReceived;

    /** Creates the policy of a gateway without backends or requests; {@code seed} seeds its random numbers. */
    public Policy(Settings settings, long seed, Host host) {
        this.context = new PolicyContext(settings, seed, host);
        this.host = host;
        this.quotas = new QuotaTable(context);
        this.dispatcher = new Dispatcher(context);
        this.methodStats = settings.methods().stream().map(MethodStats::new).toArray(MethodStats[]::new);
        if (settings.pollsEndpointList()) {
            host.pollEndpointList();
        }
        context.schedule(context.nowUs() + SWEEP_INTERVAL_US, this::sweep);
        context.armTimers();
    }

    // ---- Events ----

    /**
     * Handles the arrival of a client's request; from here on exactly one final answer is owed to the client.
     *
     * @param id the front door's number of the request, as used in the calls on {@link Host}
     * @param method the index of the method in the settings
     * @param customer the customer's key
     * @param plan the index of the customer's plan in the settings
     * @param units the units of the customer's quota that the request takes
     * @param firstGateway the number of the first gateway that serves this customer
     * @param gateways the number of consecutive gateways that serve this customer
     * @param remainingUs how long the client will wait, in microseconds
     */
    public Request requestReceived(
            long id,
            int method,
            long customer,
            int plan,
            double units,
            int firstGateway,
            int gateways,
            long remainingUs) {
        MethodStats stats = methodStats[method];
        CustomerQuota quota = quotas.quotaOf(customer, plan, firstGateway, gateways);
        quota.requestReceived();
        TrackedRequest request =
                new TrackedRequest(context, requestEvents, id, requestsReceived++, stats, quota, units, remainingUs);
        request.giveUpTimer = context.schedule(request.giveUpAtUs, () -> dispatcher.requestTimedOut(request));
        advance(request);
        context.armTimers();
        return request;
    }

    /** Handles a wake-up that was scheduled with the host. */
    public void wakeUp() {
        if (context.runDueTimers()) {
            dispatcher.dispatchQueued();
            context.armTimers();
        }
    }

    /**
     * Handles the end of a call on the counter.
     *
     * @param name the name on the counter
     * @param outcome how the call ended
     * @param total the total of the name after the call, if the outcome is OK
     * @param tookUs the duration of the call in microseconds
     */
    public void counterAnswered(long name, Outcome outcome, double total, long tookUs) {
        if (quotas.counterAnswered(name, outcome, total, tookUs)) {
            dispatcher.dispatchQueued();
            context.armTimers();
        }
    }

    /** Handles a message of another gateway that has read a customer's count and found no room for one more request. */
    public void gossipReceived(byte[] message) {
        quotas.gossipReceived(message);
    }

    /**
     * Handles an update of the endpoint list.
     *
     * @param tier 0 for this tier's own backends; otherwise the number of a partner's tier, whose front doors do their
     *     own counting
     */
    public void endpointsUpdated(int tier, Endpoint.UpdateKind kind, List<Endpoint> endpoints) {
        if (kind == Endpoint.UpdateKind.NONE) {
            context.schedule(context.nowUs() + ENDPOINT_POLL_INTERVAL_US, host::pollEndpointList);
        } else {
            dispatcher.endpointsUpdated(tier, kind, endpoints);
        }
        context.armTimers();
    }

    private void sweep() {
        quotas.sweep();
        context.schedule(context.nowUs() + SWEEP_INTERVAL_US, this::sweep);
    }

    // ---- The ordinary path ----

    /**
     * Takes a request through admission into the queue of its tier, from which the dispatcher forwards it in its turn.
     */
    private void advance(TrackedRequest request) {
        if (request.stage == Stage.NEW && !tryAdmitAtOnce(request)) {
            // The request was rejected, or an event of the request will bring the verdict.
            return;
        }
        if (request.stage == Stage.QUEUED) {
            dispatcher.enqueue(request);
        }
    }

    /**
     * Starts the admission of a request. Returns true if the request is admitted without a verdict of its quota;
     * otherwise the verdict is given during this call or by a later event.
     */
    private boolean tryAdmitAtOnce(TrackedRequest request) {
        CustomerQuota customer = request.customer;
        double units = request.units();
        // 1. Rejects a request that is certainly too late or beyond its quota: too many requests are open, or the last
        // reading shows that the quota has not refilled yet.
        customer.markUsed();
        CustomerOwner owner = host.customerOwner(request.id, customer.customer());
        long waitUs = owner.isPartner() ? 0 : Math.max(owner.retryAfterUs(), customer.refillWaitUs(units));
        // A client's retry after its soft deadline takes no units.
        boolean tooLate = request.isTooLateToStart();
        if (tooLate || customer.isAtConcurrencyLimit() || waitUs > 0) {
            dispatcher.finish(request, tooLate ? 0 : customer.retryAfterUs(waitUs, units));
            return false;
        }
        request.tier = owner.tier();
        boolean decidesByBucket =
                quotas.areCallsScarce() && !customer.isShareBelowOneRequest() && customer.bucketHolds(units);
        // 2. One call adds the units to the customer's count; its answer admits or rejects the request.
        // A partner's customer is counted once, by the partner.
        if (customer.plan().rate() <= 0 || owner.isPartner()) {
            request.stage = Stage.QUEUED;
            return true;
        }
        if (!decidesByBucket && customer.mustAwaitVerdict(request)) {
            customer.awaitVerdict(request);
        } else if (!decidesByBucket && quotas.mayCallCounter()) {
            request.stage = Stage.AWAITING_COUNTER;
            customer.callCounter(request);
        } else {
            customer.decideLocally(request);
        }
        return false;
    }

    /** Handles the events of requests after their admission or their attempts. */
    private final class RequestEvents implements TrackedRequest.Listener {
        @Override
        public void nextStageReady(TrackedRequest request) {
            advance(request);
        }

        @Override
        public void admissionRejected(TrackedRequest request, long retryAfterUs) {
            dispatcher.finish(request, retryAfterUs);
        }

        @Override
        public void attemptEnded(
                TrackedRequest request,
                Attempt attempt,
                Outcome outcome,
                long tookUs,
                boolean clientAnswered,
                int settledUnits,
                float[] report) {
            long atBackendUs = Math.max(1, tookUs - attempt.backend.extraRoundTripUs());
            dispatcher
                    .backendsOf(request)
                    .attemptEnded(attempt.backend, request.methodStats(), request.plan(), outcome, atBackendUs, report);
            if (settledUnits > 0
                    && context.settings().backendsReportUnits()
                    && request.isAdmitted()
                    && settledUnits != request.units()) {
                request.customer.settleUnits(settledUnits - request.units());
            }
            if (!request.isDone() && clientAnswered) {
                dispatcher.close(request);
            } else if (!request.isDone() && request.attemptsInFlight == 0 && !dispatcher.isQueued(request)) {
                boolean isFinal =
                        outcome == Outcome.INVALID_REQUEST || outcome == Outcome.TIMED_OUT || request.streaming;
                if (isFinal || !dispatcher.retry(request, !attempt.neverRan)) {
                    dispatcher.finish(request, 0);
                }
            }
            dispatcher.dispatchQueued();
            context.armTimers();
        }

        @Override
        public void clientLeft(TrackedRequest request) {
            dispatcher.close(request);
            dispatcher.dispatchQueued();
            context.armTimers();
        }
    }
}
