package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import java.util.function.Consumer;

/**
 * Starts attempts for queued requests while {@link ConcurrencyLimiter} permits more, at the endpoints that {@link
 * EarliestDeadlineSelector} selects. Gives up queued requests that have waited too long, and those of the lowest
 * priority when the queue grows too long.
 */
final class AdmissionController {
    /**
     * The token of the timer that processes the queue. It is part of the simulator's wire format and must not change.
     */
    private static final String TIMER_TOKEN = "held";
    /**
     * How often the queue is processed per latency budget when no other event arrives. Requests may become admissible
     * without an event, because the concurrency limit that is left unused accumulates over time.
     */
    private static final int WAKE_UPS_PER_LATENCY_BUDGET = 4;
    /**
     * An attempt's timeout, as a multiple of the time left until the latency objective. With a longer timeout, attempts
     * at endpoints that do not answer would use up the concurrency limit.
     */
    private static final double TIMEOUT_OBJECTIVE_MULTIPLE = 2;

    private final ControlParameters parameters;
    private final int flowCount;
    private final EndpointMembership membership;
    private final AdmissionQueue queue;
    private final ConcurrencyLimiter limiter;
    private final EarliestDeadlineSelector selector;
    private final RejectionPolicy rejection;
    private long wakeUpAtUs = Long.MIN_VALUE;

    AdmissionController(
            ControlParameters parameters,
            int flowCount,
            EndpointMembership membership,
            AdmissionQueue queue,
            ConcurrencyLimiter limiter,
            EarliestDeadlineSelector selector,
            RejectionPolicy rejection) {
        this.parameters = parameters;
        this.flowCount = flowCount;
        this.membership = membership;
        this.queue = queue;
        this.limiter = limiter;
        this.selector = selector;
        this.rejection = rejection;
    }

    /** Processes the queue once. Called after each event, because any event may have freed capacity. */
    void processQueue(long nowUs, Consumer<Action> actions) {
        if (queue.size() > 0) {
            admitToAffinityEndpoints(nowUs, actions);
            admitInOrder(nowUs, actions);
            giveUp(nowUs, actions);
            scheduleWakeUp(nowUs, actions);
        }
    }

    /**
     * Starts those requests of the highest priority weight in the queue for which the selector chooses the affinity
     * endpoint. They go before the other requests, because at any other endpoint they would use more capacity.
     */
    private void admitToAffinityEndpoints(long nowUs, Consumer<Action> actions) {
        int position = 0;
        while (position < queue.size()
                && queue.get(position).priorityWeight() == queue.get(0).priorityWeight()
                && limiter.permits(queue.get(position), nowUs)) {
            PendingRequest request = queue.get(position);
            if (request.affinityEndpoint() != null && selector.select(request, nowUs) == request.affinityEndpoint()) {
                start(request, request.affinityEndpoint(), nowUs, actions);
            } else {
                position++;
            }
        }
    }

    /**
     * Starts requests in queue order. When no endpoint is selected for a first attempt, later first attempts of the
     * same flow have to wait as well, while other flows and retries are not affected.
     */
    private void admitInOrder(long nowUs, Consumer<Action> actions) {
        var blockedFlows = new boolean[flowCount];
        int position = 0;
        while (position < queue.size() && limiter.permits(queue.get(position), nowUs)) {
            PendingRequest request = queue.get(position);
            boolean firstAttempt = request.attempts().isEmpty();
            boolean blocked = firstAttempt && blockedFlows[request.flow()];
            EndpointRecord endpoint = blocked ? null : selector.select(request, nowUs);
            if (endpoint != null) {
                start(request, endpoint, nowUs, actions);
            } else {
                blockedFlows[request.flow()] |= firstAttempt;
                position++;
            }
        }
    }

    private void start(PendingRequest request, EndpointRecord endpoint, long nowUs, Consumer<Action> actions) {
        queue.remove(request);
        var attempt = new AttemptRecord(endpoint, nowUs, timeoutUs(request, nowUs));
        request.recordAttemptStarted(attempt);
        limiter.recordAttemptStarted(attempt);
        endpoint.recordAttemptStarted(request.flow(), nowUs);
        actions.accept(new Action.StartAttempt(request.id(), endpoint.id(), attempt.timeoutUs()));
    }

    /**
     * Returns the timeout of an attempt that starts now, in microseconds. It never extends past the deadline and never
     * expires before the objective, so {@link RetryPolicy} does not retry an attempt that timed out.
     */
    private static long timeoutUs(PendingRequest request, long nowUs) {
        long toObjectiveUs = request.objectiveAtUs() - nowUs;
        long byObjectiveUs = toObjectiveUs > 0 ? (long) (TIMEOUT_OBJECTIVE_MULTIPLE * toObjectiveUs) : Long.MAX_VALUE;
        return Math.min(request.deadlineAtUs() - nowUs, byObjectiveUs);
    }

    /**
     * Gives up the requests that have waited too long, and all requests if no endpoint is ready. The queue may hold as
     * many requests as the limit permits attempts, but at least one; the requests beyond that have the lowest priority
     * and are given up as well.
     */
    private void giveUp(long nowUs, Consumer<Action> actions) {
        for (int position = queue.size() - 1; position >= 0; position--) {
            PendingRequest request = queue.get(position);
            boolean exceedsQueueLimit = position >= Math.max(limiter.limit(), 1);
            if (request.giveUpAtUs() <= nowUs || membership.readyEndpoints().isEmpty() || exceedsQueueLimit) {
                queue.remove(request);
                rejection.rejectOrFail(request, nowUs, actions);
            }
        }
    }

    /**
     * Sets a timer, unless one that fires early enough is already set. It ensures that each queued request gets a final
     * answer before its deadline, even if no other event arrives.
     */
    private void scheduleWakeUp(long nowUs, Consumer<Action> actions) {
        long nextGiveUpAtUs = queue.nextGiveUpAtUs();
        if (queue.size() > 0 && (nowUs >= wakeUpAtUs || nextGiveUpAtUs < wakeUpAtUs)) {
            wakeUpAtUs = Math.min(nowUs + parameters.latencyBudgetUs() / WAKE_UPS_PER_LATENCY_BUDGET, nextGiveUpAtUs);
            actions.accept(new Action.SetTimer(wakeUpAtUs, TIMER_TOKEN));
        }
    }
}
