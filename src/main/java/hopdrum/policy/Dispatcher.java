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
 * Queues admitted requests, forwards each in its turn, watches its attempts, and gives the final answer where none
 * comes from a backend. The first attempt and the retries of a request wait in the same queue.
 */
final class Dispatcher {
    private static final Comparator<TrackedRequest> EARLIEST_START_FIRST = Comparator.comparingLong(
                    (TrackedRequest request) -> request.latestStartAtUs)
            .thenComparingLong(request -> request.arrivalNumber);

    /** One tier of backends and the queue of the requests that wait for capacity there. */
    private record Tier(BackendTier backends, PriorityQueue<TrackedRequest> queue) {}

    private final PolicyContext context;
    private final Settings settings;
    private final Host host;
    private final RetryBudget retryBudget = new RetryBudget();
    // By tier number: this tier's own backends first, then the front doors of each partner.
    private final List<Tier> tiers = new ArrayList<>();

    Dispatcher(PolicyContext context) {
        this.context = context;
        this.settings = context.settings();
        this.host = context.host();
    }

    private Tier tier(int number) {
        while (tiers.size() <= number) {
            tiers.add(new Tier(
                    new BackendTier(context, this::dispatchQueued), new PriorityQueue<>(EARLIEST_START_FIRST)));
        }
        return tiers.get(number);
    }

    BackendTier backendsOf(TrackedRequest request) {
        return tier(request.tier).backends;
    }

    void endpointsUpdated(int tier, Endpoint.UpdateKind kind, List<Endpoint> endpoints) {
        tier(tier).backends.endpointsUpdated(kind, endpoints);
        dispatchQueued();
    }

    // ---- Forwarding ----

    /** Queues an admitted request until a backend of its tier has capacity. */
    void enqueue(TrackedRequest request) {
        tier(request.tier).queue.add(request);
        request.latestStartTimer = context.schedule(request.latestStartAtUs + 1, this::dispatchQueued);
        dispatchQueued();
    }

    boolean isQueued(TrackedRequest request) {
        return tier(request.tier).queue.contains(request);
    }

    /** Assigns free capacity to the queued requests, the one with the earliest latest start first. */
    void dispatchQueued() {
        for (Tier tier : tiers) {
            dispatchQueued(tier);
        }
    }

    private void dispatchQueued(Tier tier) {
        List<TrackedRequest> barredRetries = new ArrayList<>(0);
        while (!tier.queue.isEmpty()) {
            TrackedRequest request = tier.queue.peek();
            boolean isFirstAttempt = request.attempts.isEmpty();
            if (isFirstAttempt && shouldRejectAsLate(request, tier)) {
                tier.queue.poll();
                finish(
                        request,
                        request.customer.retryAfterUs(request.methodStats().typicalResponseTimeUs(), request.units()));
                continue;
            }
            Backend backend = tier.backends.hasCapacity() ? tier.backends.pick(request) : null;
            if (backend == null && isFirstAttempt) {
                // Stops at a first attempt without a backend. A retry may only be barred from the free backends, so the
                // requests behind it are still tried.
                break;
            }
            tier.queue.poll();
            if (backend != null) {
                forward(request, tier, backend);
            } else if (tier.backends.isBarredEverywhere(request)) {
                // No listed backend may run the request, so it is answered at once.
                finish(request, 0);
            } else {
                barredRetries.add(request);
            }
        }
        tier.queue.addAll(barredRetries);
    }

    /**
     * Returns true if a queued request should be rejected because it is too late for it to start. A queue that served
     * requests which can only be late would make all requests behind them late too.
     */
    private boolean shouldRejectAsLate(TrackedRequest request, Tier tier) {
        return request.isTooLateToStart() || (context.nowUs() > request.latestStartAtUs && tier.queue.size() > 1);
    }

    private void forward(TrackedRequest request, Tier tier, Backend backend) {
        long nowUs = context.nowUs();
        Attempt attempt = new Attempt(backend, nowUs, request.attempts.size());
        request.cancelLatestStartTimer();
        if (request.attempts.isEmpty()) {
            retryBudget.recordRequest();
            request.customer.requestOpened();
        }
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        request.stage = Stage.FORWARDED;
        tier.backends.attemptStarted(backend, request.methodStats());
        // The attempt times out when this gateway gives up: a backend need not begin work whose answer is no longer
        // awaited.
        long timeOutUs = Math.max(1, request.giveUpAtUs - nowUs);
        long suspicionTimeoutUs = request.methodStats().suspicionTimeoutUs();
        attempt.overdueTimer = context.schedule(
                nowUs + suspicionTimeoutUs + backend.extraRoundTripUs(), () -> attemptOverdue(request, attempt));
        host.startAttempt(
                request.id,
                backend.endpoint().backendId(),
                timeOutUs,
                Math.min(timeOutUs, request.retryDeadlineAtUs() - nowUs));
    }

    // ---- Retries ----

    /**
     * Handles an attempt without an answer within the usual time. This detects faults that show only as time: a hang, a
     * vanished machine, a long pause, a slow backend.
     */
    private void attemptOverdue(TrackedRequest request, Attempt attempt) {
        // A stream that has begun is left to the client.
        if (!attempt.inFlight || request.streaming) {
            return;
        }
        backendsOf(request).attemptOverdue(attempt.backend, attempt.sentAtUs);
        // Retries only away from an ejected backend: a long request would be as long at another one.
        if (attempt.backend.isUsable() || request.isDone() || request.attemptsInFlight != 1) {
            return;
        }
        if (settings.hedgingAllowed()) {
            retry(request, true);
        } else if (settings.cancellationAllowed() && request.mayRetry() && retryBudget.allowsRetry()) {
            host.cancelAttempt(request.id, attempt.number);
        }
    }

    /**
     * Queues a request again if its method, its number of attempts, its time and the retry budget allow another
     * attempt.
     *
     * @param mayHaveRun whether an earlier attempt may have run; if so, the new attempt is a retry or a hedged request
     *     and spends the retry budget
     */
    boolean retry(TrackedRequest request, boolean mayHaveRun) {
        if (!request.mayRetry() || request.isAnswerWorthless() || (mayHaveRun && !retryBudget.allowsRetry())) {
            return false;
        }
        if (mayHaveRun) {
            retryBudget.spendRetry();
        }
        tier(request.tier).queue.add(request);
        return true;
    }

    // ---- The end of a request ----

    /** Ends a request that has no answer by the time at which this gateway gives up on it. */
    void requestTimedOut(TrackedRequest request) {
        if (request.isDone() || request.streaming) {
            return;
        }
        for (Attempt attempt : request.attempts) {
            if (attempt.inFlight) {
                backendsOf(request)
                        .attemptTookTooLong(attempt.backend, request.methodStats(), context.nowUs() - attempt.sentAtUs);
            }
        }
        finish(request, 0);
    }

    /**
     * Gives this gateway's own final answer at once: a rejection if a retry by the client is harmless, otherwise an
     * abort.
     *
     * @param retryAfterUs microseconds after which the client should retry; 0 to name no time
     */
    void finish(TrackedRequest request, long retryAfterUs) {
        boolean retryHarmless = request.isClientRetryHarmless();
        close(request);
        if (retryHarmless) {
            host.reject(
                    request.id, settings.retryAfterAllowed() ? Math.min(retryAfterUs, settings.maxRetryAfterUs()) : 0);
        } else {
            host.abort(request.id);
        }
    }

    /**
     * Closes a request that has its final answer or whose client has left; cancels the attempts that are still in
     * flight.
     */
    void close(TrackedRequest request) {
        if (request.stage == Stage.QUEUED || request.stage == Stage.FORWARDED) {
            tier(request.tier).queue.remove(request);
        }
        request.customer.requestClosed(request, !request.attempts.isEmpty());
        request.stage = Stage.DONE;
        request.cancelTimers();
        for (Attempt attempt : request.attempts) {
            if (attempt.inFlight && settings.cancellationAllowed()) {
                host.cancelAttempt(request.id, attempt.number);
            }
        }
    }
}
