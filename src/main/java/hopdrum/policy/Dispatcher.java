package hopdrum.policy;

import hopdrum.host.Endpoint;
import hopdrum.host.Host;
import hopdrum.host.Settings;
import hopdrum.policy.TrackedRequest.Stage;
import hopdrum.policy.backends.Backend;
import hopdrum.policy.backends.BackendTier;
import hopdrum.policy.context.PolicyContext;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The queues of admitted requests: forwards each in its turn, watches its attempts, and gives the final answer where
 * none comes from a backend. A request's first attempt and its retries wait in the same queue.
 */
final class Dispatcher {
    private static final Comparator<TrackedRequest> SOONEST_START_FIRST = Comparator.comparingLong(
                    (TrackedRequest request) -> request.startByUs)
            .thenComparingLong(request -> request.order);

    /** One tier of backends and the requests that wait for a place there. */
    private record Tier(BackendTier backends, PriorityQueue<TrackedRequest> queue) {}

    private final PolicyContext context;
    private final Settings settings;
    private final Host host;
    private final RetryBudget retryBudget = new RetryBudget();
    private final List<Tier> tiers = new ArrayList<>(); // by number: the own backends, then each partner's front doors

    Dispatcher(PolicyContext context) {
        this.context = context;
        this.settings = context.settings();
        this.host = context.host();
    }

    private Tier tier(int number) {
        while (tiers.size() <= number) {
            tiers.add(new Tier(new BackendTier(context, this::pump), new PriorityQueue<>(SOONEST_START_FIRST)));
        }
        return tiers.get(number);
    }

    BackendTier backendsOf(TrackedRequest request) {
        return tier(request.tier).backends;
    }

    void endpointsUpdated(int tier, Endpoint.UpdateKind kind, List<Endpoint> endpoints) {
        tier(tier).backends.endpointsUpdated(kind, endpoints);
        pump();
    }

    // ---- Forwarding ----

    /** Has an admitted request wait until a backend of its tier has capacity. */
    void enqueue(TrackedRequest request) {
        tier(request.tier).queue.add(request);
        context.schedule(request.startByUs + 1, this::pump);
        pump();
    }

    boolean isQueued(TrackedRequest request) {
        return tier(request.tier).queue.contains(request);
    }

    /** Gives free capacity to the queues, the request that must start soonest first. */
    void pump() {
        for (Tier tier : tiers) {
            pump(tier);
        }
    }

    private void pump(Tier tier) {
        List<TrackedRequest> waitingRetries = new ArrayList<>(0);
        while (!tier.queue.isEmpty()) {
            TrackedRequest request = tier.queue.peek();
            boolean isFirstAttempt = request.attempts.isEmpty();
            if (isFirstAttempt && cannotBeInTime(request, tier)) {
                tier.queue.poll();
                finish(
                        request,
                        request.customer.retryAfterUs(request.methodStats().usualUs(), request.units()));
                continue;
            }
            Backend backend = tier.backends.hasCapacity() ? tier.backends.pick(request) : null;
            if (backend == null && isFirstAttempt) {
                break; // a retry may be barred from what is free: those behind it go on
            }
            tier.queue.poll();
            if (backend != null) {
                forward(request, tier, backend);
            } else if (tier.backends.isBarredEverywhere(request)) {
                finish(request, 0); // given up on, and so answered at once
            } else {
                waitingRetries.add(request);
            }
        }
        tier.queue.addAll(waitingRetries);
    }

    /** Guards against a queue in which those that can only be late go first, and make all behind them late too. */
    private boolean cannotBeInTime(TrackedRequest request, Tier tier) {
        return request.isTooLate() || (context.nowUs() > request.startByUs && tier.queue.size() > 1);
    }

    private void forward(TrackedRequest request, Tier tier, Backend backend) {
        long nowUs = context.nowUs();
        Attempt attempt = new Attempt(backend, nowUs, request.attempts.size());
        if (request.attempts.isEmpty()) {
            retryBudget.earn();
            request.customer.requestOpened();
        }
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        request.stage = Stage.FORWARDED;
        tier.backends.attemptStarted(backend, request.methodStats());
        // Its time-out is when this gateway gives up: a backend need not begin what nobody waits for.
        long timeOutUs = Math.max(1, request.giveUpAtUs - nowUs);
        host.startAttempt(
                request.id, backend.endpoint().backend(), timeOutUs, Math.min(timeOutUs, request.retryByUs() - nowUs));
        long patienceUs = request.methodStats().patienceUs();
        context.schedule(nowUs + patienceUs + backend.roundTripUs(), () -> overdue(request, attempt));
    }

    // ---- Retries ----

    /** Guards against what shows only as time: a hang, a vanished machine, a long pause, a slow backend. */
    private void overdue(TrackedRequest request, Attempt attempt) {
        if (!attempt.inFlight || request.streaming) { // a stream that has begun belongs to the client
            return;
        }
        backendsOf(request).attemptOverdue(attempt.backend, attempt.sentAtUs);
        // Only away from an ejected backend: elsewhere a long request is long too.
        if (attempt.backend.isUsable() || request.isDone() || request.attemptsInFlight != 1) {
            return;
        }
        if (settings.hedgingAllowed()) {
            retry(request, true);
        } else if (settings.cancellationAllowed() && request.mayRetry() && retryBudget.allows()) {
            host.cancelAttempt(request.id, attempt.number);
        }
    }

    /**
     * Queues a request again, if its method, its attempts, its time and the budget allow one attempt more.
     *
     * @param mayHaveRun whether an attempt may have run: then it is a retry or a hedged request, and spends the budget
     */
    boolean retry(TrackedRequest request, boolean mayHaveRun) {
        if (!request.mayRetry() || request.isPastUse() || (mayHaveRun && !retryBudget.allows())) {
            return false;
        }
        if (mayHaveRun) {
            retryBudget.spend();
        }
        tier(request.tier).queue.add(request);
        return true;
    }

    // ---- The end of a request ----

    /** Nobody waits any longer for a request that has no answer yet. */
    void timedOut(TrackedRequest request) {
        if (request.isDone() || request.streaming) {
            return;
        }
        for (Attempt attempt : request.attempts) {
            if (attempt.inFlight) {
                backendsOf(request)
                        .tookTooLong(attempt.backend, request.methodStats(), context.nowUs() - attempt.sentAtUs);
            }
        }
        finish(request, 0);
    }

    /** The gateway's own final answer, at once: rejected where the client's retry is harmless, else aborted. */
    void finish(TrackedRequest request, long retryAfterUs) {
        boolean harmless = request.isClientRetryHarmless();
        close(request);
        if (harmless) {
            host.reject(
                    request.id, settings.retryAfterAllowed() ? Math.min(retryAfterUs, settings.maxRetryAfterUs()) : 0);
        } else {
            host.abort(request.id);
        }
    }

    /** The request has its final answer, or its client has left; what is still in flight is cancelled. */
    void close(TrackedRequest request) {
        if (request.stage == Stage.QUEUED || request.stage == Stage.FORWARDED) {
            tier(request.tier).queue.remove(request);
        }
        request.customer.requestClosed(request, !request.attempts.isEmpty());
        request.stage = Stage.DONE;
        for (Attempt attempt : request.attempts) {
            if (attempt.inFlight && settings.cancellationAllowed()) {
                host.cancelAttempt(request.id, attempt.number);
            }
        }
    }
}
