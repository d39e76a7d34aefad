package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import java.util.function.Consumer;

/** Starts attempts for queued requests, and gives up those that wait too long or are too many. */
final class AdmissionController {
    /** The token of the queue's timer; recorded actions contain it. */
    private static final String TIMER_TOKEN = "held";
    /** The queue is looked at so often in a latency budget: the passing of time adds capacity. */
    private static final int WAKE_UPS_PER_LATENCY_BUDGET = 4;
    /** Time-out in times to the latency objective. If it were longer, silent endpoints would use up the limit. */
    private static final double TIMEOUT_OBJECTIVES = 2;

    private final ControlPeriods periods;
    private final int flowCount;
    private final EndpointMembership membership;
    private final AdmissionQueue queue;
    private final ConcurrencyLimiter limiter;
    private final EarliestDeadlineSelector selector;
    private final RejectionPolicy rejection;
    private long wakeUpAtUs = Long.MIN_VALUE;

    AdmissionController(
            ControlPeriods periods,
            int flowCount,
            EndpointMembership membership,
            AdmissionQueue queue,
            ConcurrencyLimiter limiter,
            EarliestDeadlineSelector selector,
            RejectionPolicy rejection) {
        this.periods = periods;
        this.flowCount = flowCount;
        this.membership = membership;
        this.queue = queue;
        this.limiter = limiter;
        this.selector = selector;
        this.rejection = rejection;
    }

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
        int i = 0;
        while (i < queue.size()
                && queue.get(i).priorityWeight() == queue.get(0).priorityWeight()
                && limiter.permits(queue.get(i), nowUs)) {
            PendingRequest request = queue.get(i);
            if (request.affinityEndpoint() != null && selector.select(request, nowUs) == request.affinityEndpoint()) {
                start(request, request.affinityEndpoint(), nowUs, actions);
            } else {
                i++;
            }
        }
    }

    /** Admits in order. A flow whose first attempts wait for an endpoint does not block the other flows. */
    private void admitInOrder(long nowUs, Consumer<Action> actions) {
        var blockedFlows = new boolean[flowCount];
        int i = 0;
        while (i < queue.size() && limiter.permits(queue.get(i), nowUs)) {
            PendingRequest request = queue.get(i);
            boolean firstAttempt = request.attempts().isEmpty();
            boolean blocked = firstAttempt && blockedFlows[request.flow()];
            EndpointRecord endpoint = blocked ? null : selector.select(request, nowUs);
            if (endpoint != null) {
                start(request, endpoint, nowUs, actions);
            } else {
                blockedFlows[request.flow()] |= firstAttempt;
                i++;
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

    private static long timeoutUs(PendingRequest request, long nowUs) {
        long toObjectiveUs = request.objectiveAtUs() - nowUs;
        long byObjectiveUs = toObjectiveUs > 0 ? (long) (TIMEOUT_OBJECTIVES * toObjectiveUs) : Long.MAX_VALUE;
        return Math.min(request.deadlineAtUs() - nowUs, byObjectiveUs);
    }

    private void giveUp(long nowUs, Consumer<Action> actions) {
        for (int i = queue.size() - 1; i >= 0; i--) {
            PendingRequest request = queue.get(i);
            boolean tooMany = i >= Math.max(limiter.limit(), 1);
            if (request.giveUpAtUs() <= nowUs || membership.ready().isEmpty() || tooMany) {
                queue.remove(request);
                rejection.reject(request, nowUs, actions);
            }
        }
    }

    /** Sets a timer, so that no queued request passes its deadline without a final answer. */
    private void scheduleWakeUp(long nowUs, Consumer<Action> actions) {
        long nextGiveUpAtUs = queue.nextGiveUpAtUs();
        if (queue.size() > 0 && (nowUs >= wakeUpAtUs || nextGiveUpAtUs < wakeUpAtUs)) {
            wakeUpAtUs = Math.min(nowUs + periods.latencyBudgetUs() / WAKE_UPS_PER_LATENCY_BUDGET, nextGiveUpAtUs);
            actions.accept(new Action.SetTimer(wakeUpAtUs, TIMER_TOKEN));
        }
    }
}
