package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.UpdateKind;
import java.util.function.Consumer;

/**
 * The load balancer of one proxy. It sends each attempt to the eligible endpoint with the earliest deadline, as defined
 * in {@link EarliestDeadlineSelector}. This class only passes each event to its collaborators, in a fixed order; they
 * make the decisions.
 */
public final class EarliestDeadlineLoadBalancer implements LoadBalancer {
    private final RequestFlows flows;
    private final EndpointMembership membership;
    private final EndpointWeights weights;
    private final LoadStatistics load;
    private final ConcurrencyLimiter limiter;
    private final RequestRegistry registry;
    private final RequestPriority priority;
    private final AdmissionQueue queue;
    private final AdmissionController admission;
    private final RetryPolicy retryPolicy;
    private final RejectionPolicy rejection;
    private final AttemptOutcomeRecorder outcomes;
    private final DiscoveryPolling polling;
    private boolean started;

    /** Creates a load balancer that has no endpoints and no requests yet. */
    public EarliestDeadlineLoadBalancer(BalancerSettings settings) {
        int proxyCount = settings.proxyCount();
        var limits = settings.limits();
        var parameters = ControlParameters.of(settings);
        var quotas = new TenantQuotas(settings, parameters);
        var rates = new OutcomeRates();
        var guard = new DuplicateExecutionGuard(settings);
        flows = new RequestFlows(settings, quotas.tenantCount());
        membership = new EndpointMembership(settings, flows.count(), parameters);
        weights = new EndpointWeights(membership, parameters);
        load = new LoadStatistics(parameters);
        limiter = new ConcurrencyLimiter(proxyCount, parameters, membership, load, rates);
        registry = new RequestRegistry(limits.cancellation());
        priority = new RequestPriority(settings, flows, quotas);
        queue = new AdmissionQueue(parameters, settings.minEventIntervalUs(), flows, new CacheAffinity(membership));
        retryPolicy = new RetryPolicy(limits.maxAttempts(), membership, guard);
        var retryAfter = new RetryAfter(limits.maxRetryAfterUs(), parameters, membership, load, queue);
        rejection = new RejectionPolicy(retryAfter, guard, rates, registry);
        var subset = new EndpointSubset(proxyCount, membership, load);
        var slowStart = new SlowStartBudget(settings, membership, load);
        var selector = new EarliestDeadlineSelector(membership, subset, guard, slowStart, limiter);
        admission = new AdmissionController(parameters, flows.count(), membership, queue, limiter, selector, rejection);
        outcomes = new AttemptOutcomeRecorder(rates, load);
        polling = new DiscoveryPolling(settings);
    }

    @Override
    public void handle(long nowUs, Event event, Consumer<Action> actions) {
        limiter.update(nowUs);
        if (!started) {
            started = true;
            load.start(nowUs);
            polling.poll(nowUs, actions);
        }
        dispatch(nowUs, event, actions);
        admission.processQueue(nowUs, actions);
    }

    /** Handles one event. An event of a type that has no branch here requires no decision. */
    private void dispatch(long nowUs, Event event, Consumer<Action> actions) {
        if (event instanceof Event.RequestArrived arrival) {
            handleRequestArrived(nowUs, arrival);
        } else if (event instanceof Event.AttemptEnded attemptEnded) {
            handleAttemptEnded(nowUs, attemptEnded, actions);
        } else if (event instanceof Event.TimerFired timer) {
            polling.handleTimerFired(timer.token(), nowUs, actions);
        } else if (event instanceof Event.EndpointUpdate update) {
            handleEndpointUpdate(nowUs, update, actions);
        } else if (event instanceof Event.ClientDisconnected disconnect) {
            handleClientDisconnected(disconnect, actions);
        }
    }

    private void handleRequestArrived(long nowUs, Event.RequestArrived arrival) {
        RequestClass requestClass = flows.requestClass(arrival.requestClass());
        load.sampleIfDue(membership.readyEndpoints().size(), nowUs);
        weights.refreshIfDue(nowUs);
        retryPolicy.recordRequest();
        PendingRequest request = priority.prioritize(arrival, requestClass, nowUs);
        registry.add(request);
        queue.add(request);
    }

    private void handleAttemptEnded(long nowUs, Event.AttemptEnded event, Consumer<Action> actions) {
        PendingRequest request = registry.find(event.requestId());
        if (request == null || !request.isInFlight(event.attempt())) {
            return;
        }
        AttemptRecord attempt = request.attempts().get(event.attempt());
        request.recordAttemptEnded(attempt, event.outcome());
        limiter.recordAttemptEnded(attempt);
        attempt.endpoint().health().recordAttemptEnded(request.flow(), event.outcome(), nowUs);
        membership.closeIdleConnectionsUnlessReady(attempt.endpoint(), actions);
        outcomes.record(request, attempt, event, nowUs);
        if (request.isAnswered() || event.requestEnded()) {
            registry.complete(request, actions);
        } else if (request.attemptsInFlight() > 0) {
            return;
        } else if (retryPolicy.tryRetry(request, nowUs)) {
            queue.add(request);
        } else {
            rejection.rejectOrFail(request, nowUs, actions);
        }
    }

    private void handleEndpointUpdate(long nowUs, Event.EndpointUpdate update, Consumer<Action> actions) {
        if (update.kind() == UpdateKind.POLL_FAILED) {
            polling.handleCallFailed(nowUs, actions);
            return;
        }
        if (update.kind() != UpdateKind.CACHED) {
            polling.handleListReceived();
        }
        membership.apply(update, nowUs, actions);
        weights.refresh(nowUs);
    }

    private void handleClientDisconnected(Event.ClientDisconnected disconnect, Consumer<Action> actions) {
        PendingRequest request = registry.find(disconnect.requestId());
        if (request != null) {
            queue.remove(request);
            registry.complete(request, actions);
        }
    }

    /** Returns the number of endpoints and requests held in memory. If it grows with uptime, the proxy leaks memory. */
    int trackedStateSize() {
        return membership.size() + registry.size();
    }
}
