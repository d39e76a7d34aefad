package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import java.util.function.Consumer;

/**
 * Starts attempts for queued requests as far as {@link ConcurrencyLimiter} permits, at the endpoints that {@link
 * EarliestDeadlineSelector} selects, and gives up requests that wait too long or are too many.
 */
final class AdmissionController {
    /** The token of the queue's timer. It is on the simulator's wire, so it must not change. */
    private static final String TIMER_TOKEN = "held";
    /** The queue is processed so often in a latency budget without other events: unused capacity grows with time. */
    private static final int WAKE_UPS_PER_LATENCY_BUDGET = 4;
    /** The time-out in times left to the objective. If it were longer, silent endpoints would use up the limit. */
    private static final double TIMEOUT_OBJECTIVES = 2;

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

    /** Processes the queue once; called after each event, as any may have freed capacity. */
    void processQueue(long nowUs, Consumer<Action> actions) {
        if (queue.size() > 0) {
            admitToAffinityEndpoints(nowUs, actions);
            admitInOrder(nowUs, actions);
            giveUp(nowUs, actions);
            scheduleWakeUp(nowUs, actions);
        }
    }

    /** Requests whose affinity endpoint is selected go first: elsewhere their work takes more of the capacity. */
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

    /** Admits in order. A flow whose first attempts wait for an endpoint does not block the other flows. */
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
     * Returns the time-out of an attempt that starts now, in microseconds: never past the deadline. An attempt that times
     * out does so at or after the objective, and so {@link RetryPolicy} does not retry it.
     */
    private static long timeoutUs(PendingRequest request, long nowUs) {
        long toObjectiveUs = request.objectiveAtUs() - nowUs;
        long byObjectiveUs = toObjectiveUs > 0 ? (long) (TIMEOUT_OBJECTIVES * toObjectiveUs) : Long.MAX_VALUE;
        return Math.min(request.deadlineAtUs() - nowUs, byObjectiveUs);
    }

    /** Rejects from the end of the queue, as those of the lowest priority are there. */
    private void giveUp(long nowUs, Consumer<Action> actions) {
        for (int position = queue.size() - 1; position >= 0; position--) {
            PendingRequest request = queue.get(position);
            boolean tooMany = position >= Math.max(limiter.limit(), 1);
            if (request.giveUpAtUs() <= nowUs || membership.readyEndpoints().isEmpty() || tooMany) {
                queue.remove(request);
                rejection.reject(request, nowUs, actions);
            }
        }
    }

    /**
     * Sets a timer unless an early enough one is set, so that no queued request passes its deadline without a final
     * answer.
     */
    private void scheduleWakeUp(long nowUs, Consumer<Action> actions) {
        long nextGiveUpAtUs = queue.nextGiveUpAtUs();
        if (queue.size() > 0 && (nowUs >= wakeUpAtUs || nextGiveUpAtUs < wakeUpAtUs)) {
            wakeUpAtUs = Math.min(nowUs + parameters.latencyBudgetUs() / WAKE_UPS_PER_LATENCY_BUDGET, nextGiveUpAtUs);
            actions.accept(new Action.SetTimer(wakeUpAtUs, TIMER_TOKEN));
        }
    }
}
