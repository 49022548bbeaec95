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
 * All decisions of one gateway. A front door makes one Policy for each start, for one thread: a new request is
 * {@link #requestReceived}, which returns its handle; later events of that request are calls on the handle, other events
 * are calls here. The Policy answers by calls on {@link Host} while it is being called. Read {@link #advance} first: the
 * ordinary path of a request from top to bottom. Times are microseconds of the host's clock. Nothing here knows a
 * deployment, a method or a customer by name.
 */
public final class Policy {
    private static final long SWEEP_US = 2_000_000;
    private static final long POLL_US = 1_000_000;

    private final PolicyContext context;
    private final Host host;
    private final QuotaTable quotas;
    private final Dispatcher dispatcher;
    private final MethodStats[] methodStats;
    private final TrackedRequest.Listener requestEvents = new RequestEvents();
    private long requestsReceived;

    /** A gateway without backends or requests; {@code seed} starts its source of randomness. */
    public Policy(Settings settings, long seed, Host host) {
        this.context = new PolicyContext(settings, seed, host);
        this.host = host;
        this.quotas = new QuotaTable(context);
        this.dispatcher = new Dispatcher(context);
        this.methodStats = settings.methods().stream().map(MethodStats::new).toArray(MethodStats[]::new);
        if (settings.pollsEndpointList()) {
            host.pollEndpointList();
        }
        context.schedule(context.nowUs() + SWEEP_US, this::sweep);
        context.armTimers();
    }

    // ---- Events ----

    /**
     * A client's request has come in; exactly one final answer is owed from here on.
     *
     * @param id the front door's number of the request, as in the calls on Host
     * @param method the method's index in the settings
     * @param customer the customer's key
     * @param plan the index of the customer's plan in the settings
     * @param units what it takes of the customer's quota
     * @param firstGateway the first of the gateways that serve this customer
     * @param gateways how many in a row serve it
     * @param remainingUs how long the client will wait
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
        CustomerQuota quota = quotas.customer(customer, plan, firstGateway, gateways);
        TrackedRequest request =
                new TrackedRequest(context, requestEvents, id, requestsReceived++, stats, quota, units, remainingUs);
        context.schedule(request.giveUpAtUs, () -> dispatcher.timedOut(request));
        advance(request);
        context.armTimers();
        return request;
    }

    /** The time of a wake-up that was asked for has come. */
    public void wakeUp() {
        if (context.runDueTimers()) {
            dispatcher.pump();
            context.armTimers();
        }
    }

    /** A call on the counter has ended: with the name's total after it if the outcome is OK, after so many microseconds. */
    public void counterAnswered(long name, Outcome outcome, double total, long tookUs) {
        if (quotas.counterAnswered(name, outcome, total, tookUs)) {
            dispatcher.pump();
            context.armTimers();
        }
    }

    /** Another gateway has read a customer's count and found no room for one more request. */
    public void gossipReceived(byte[] message) {
        quotas.gossipReceived(message);
    }

    /** News of the endpoint list. Tier 0 is the own backends; others are partners, whose front doors count for themselves. */
    public void endpointsUpdated(int tier, Endpoint.UpdateKind kind, List<Endpoint> endpoints) {
        if (kind == Endpoint.UpdateKind.NONE) {
            context.schedule(context.nowUs() + POLL_US, host::pollEndpointList);
        } else {
            dispatcher.endpointsUpdated(tier, kind, endpoints);
        }
        context.armTimers();
    }

    private void sweep() {
        quotas.sweep();
        context.schedule(context.nowUs() + SWEEP_US, this::sweep);
    }

    // ---- The ordinary path ----

    /** Takes a request through admission into its tier's queue, from where the dispatcher forwards it in its turn. */
    private void advance(TrackedRequest request) {
        if (request.stage == Stage.NEW && !isAdmittedAtOnce(request)) {
            return; // rejected, or the verdict comes by the request's own events
        }
        if (request.stage == Stage.QUEUED) {
            dispatcher.enqueue(request);
        }
    }

    /** True if the request is admitted without its quota's verdict; else the verdict is given here or will come. */
    private boolean isAdmittedAtOnce(TrackedRequest request) {
        CustomerQuota customer = request.customer;
        double units = request.units();
        // 1. Beyond quota for certain: too many open, or a reading not yet refilled says so.
        customer.touch();
        CustomerOwner owner = host.customerOwner(request.id, customer.customer());
        long waitUs = owner.isPartner() ? 0 : Math.max(owner.retryAfterUs(), customer.refillWaitUs(units));
        boolean late = request.isTooLate(); // a client's retry past its soft deadline takes no units
        if (late || customer.isAtConcurrencyLimit() || waitUs > 0) {
            dispatcher.finish(request, late ? 0 : customer.retryAfterUs(waitUs, units));
            return false;
        }
        request.tier = owner.tier();
        boolean bucketFirst =
                quotas.areCallsScarce() && !customer.isShareBelowOneRequest() && customer.bucketHolds(units);
        // 2. One call on the customer's count adds the units; its answer admits or rejects.
        if (customer.plan().rate() <= 0 || owner.isPartner()) { // a partner's customer is counted there, once
            request.stage = Stage.QUEUED;
            return true;
        }
        if (!bucketFirst && customer.mustAwaitVerdict(request)) {
            customer.awaitVerdict(request);
        } else if (!bucketFirst && quotas.mayCallCounter()) {
            request.stage = Stage.AWAITING_COUNTER;
            customer.ask(request);
        } else {
            customer.decideLocally(request);
        }
        return false;
    }

    /** What becomes of a request after its admission or its attempts. */
    private final class RequestEvents implements TrackedRequest.Listener {
        @Override
        public void ready(TrackedRequest request) {
            advance(request);
        }

        @Override
        public void rejected(TrackedRequest request, long retryAfterUs) {
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
            long atBackendUs = Math.max(1, tookUs - attempt.backend.roundTripUs());
            dispatcher
                    .backendsOf(request)
                    .attemptEnded(attempt.backend, request.methodStats(), request.plan(), outcome, atBackendUs, report);
            if (settledUnits > 0
                    && context.settings().settlesUnits()
                    && request.isAdmitted()
                    && settledUnits != request.units()) {
                request.customer.settle(settledUnits - request.units());
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
            dispatcher.pump();
            context.armTimers();
        }

        @Override
        public void clientLeft(TrackedRequest request) {
            dispatcher.close(request);
            dispatcher.pump();
            context.armTimers();
        }
    }
}
