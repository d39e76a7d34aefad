package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.UpdateKind;
import java.util.function.Consumer;

/**
 * The load balancer of one proxy: a request goes to the eligible endpoint with the earliest deadline. This class takes
 * the events and calls the parts in order; each decision is made by the part named for it.
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

    /** Starts an instance that knows nothing but its settings. */
    public EarliestDeadlineLoadBalancer(BalancerSettings settings) {
        int proxyCount = settings.proxyCount();
        var limits = settings.limits();
        var parameters = ControlParameters.of(settings);
        var quotas = new TenantQuotas(settings, parameters);
        var rates = new OutcomeRates();
        var guard = new DuplicateExecutionGuard(settings);
        flows = new RequestFlows(settings, quotas.count());
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

    /** The types of event that are not named here need no decision. */
    private void dispatch(long nowUs, Event event, Consumer<Action> actions) {
        if (event instanceof Event.RequestArrived arrival) {
            handleRequestArrived(nowUs, arrival);
        } else if (event instanceof Event.AttemptEnded end) {
            handleAttemptEnded(nowUs, end, actions);
        } else if (event instanceof Event.TimerFired timer) {
            polling.timerFired(timer.token(), nowUs, actions);
        } else if (event instanceof Event.EndpointUpdate update) {
            handleEndpointsUpdated(nowUs, update, actions);
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

    private void handleAttemptEnded(long nowUs, Event.AttemptEnded end, Consumer<Action> actions) {
        PendingRequest request = registry.find(end.requestId());
        if (request == null || !request.isInFlight(end.attempt())) {
            return;
        }
        AttemptRecord attempt = request.attempts().get(end.attempt());
        request.recordAttemptEnded(attempt, end.outcome());
        limiter.recordAttemptEnded(attempt);
        attempt.endpoint().health().recordAttemptEnded(request.flow(), end.outcome(), nowUs);
        membership.closeIdleConnectionsUnlessReady(attempt.endpoint(), actions);
        outcomes.record(request, attempt, end, nowUs);
        if (request.isAnswered() || end.requestEnded()) {
            registry.close(request, actions);
        } else if (request.attemptsInFlight() > 0) {
            return;
        } else if (retryPolicy.tryRetry(request, nowUs)) {
            queue.add(request);
        } else {
            rejection.reject(request, nowUs, actions);
        }
    }

    private void handleEndpointsUpdated(long nowUs, Event.EndpointUpdate update, Consumer<Action> actions) {
        if (update.kind() == UpdateKind.POLL_FAILED) {
            polling.callFailed(nowUs, actions);
            return;
        }
        if (update.kind() != UpdateKind.CACHED) {
            polling.listReceived();
        }
        membership.apply(update, nowUs, actions);
        weights.refresh(nowUs);
    }

    private void handleClientDisconnected(Event.ClientDisconnected disconnect, Consumer<Action> actions) {
        PendingRequest request = registry.find(disconnect.requestId());
        if (request != null) {
            queue.remove(request);
            registry.close(request, actions);
        }
    }

    /** Returns the number of endpoints and requests remembered; it must not grow with time. */
    int trackedStateSize() {
        return membership.size() + registry.size();
    }
}
