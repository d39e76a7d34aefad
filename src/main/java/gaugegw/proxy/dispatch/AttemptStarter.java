package gaugegw.proxy.dispatch;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Limits;
import gaugegw.proxy.logging.TrafficCounters;
import gaugegw.proxy.logging.TrafficEvent;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.upstream.UpstreamAttempt;
import gaugegw.proxy.upstream.UpstreamClient;
import gaugegw.proxy.upstream.UpstreamResponse;
import java.util.Optional;

/**
 * Starts and cancels attempts when the load balancer requests it, and reports the end of each attempt to the load
 * balancer exactly once. An attempt starts only if the {@link Limits} permit it, the client still waits for its
 * response and the endpoint accepts it. Otherwise it ends at once with {@link AttemptOutcome#NOT_SENT}. Used on the
 * event loop only.
 */
final class AttemptStarter {
    private final Clock clock;
    private final Limits limits;
    private final TrafficCounters counters;
    private final ExecutedRequestIds executedIds;
    private final EventQueue events;
    private final RequestTable requests;
    private final UpstreamClient upstream;

    AttemptStarter(
            Clock clock,
            Limits limits,
            TrafficCounters counters,
            ExecutedRequestIds executedIds,
            EventQueue events,
            RequestTable requests,
            UpstreamClient upstream) {
        this.clock = clock;
        this.limits = limits;
        this.counters = counters;
        this.executedIds = executedIds;
        this.events = events;
        this.requests = requests;
        this.upstream = upstream;
    }

    /**
     * Starts an attempt, or reports {@link AttemptOutcome#NOT_SENT} at once if it can't start. Does nothing if the
     * request no longer exists.
     */
    void start(Action.StartAttempt action) {
        DispatchedRequest request = requests.find(action.requestId());
        if (request == null) {
            return;
        }
        int number = request.attemptCount();
        Optional<UpstreamAttempt> attempt = newAttempt(request, number, action);
        request.addAttempt(attempt);
        if (attempt.isPresent()) {
            attempt.get().start();
        } else {
            counters.count(counterOf(AttemptOutcome.NOT_SENT));
            events.deliver(new Event.AttemptEnded(
                    request.id(), number, action.endpointId(), AttemptOutcome.NOT_SENT, 0, !request.isOpen()));
        }
    }

    /**
     * Creates an attempt without starting it. Returns empty if the limits permit no further attempt, the client has
     * disconnected, the endpoint is unknown or not ready, or no connection to it may be opened.
     */
    private Optional<UpstreamAttempt> newAttempt(DispatchedRequest request, int number, Action.StartAttempt action) {
        long timeoutUs = timeoutUs(request, action);
        if (!request.isOpen() || !isWithinLimits(request, number, timeoutUs)) {
            return Optional.empty();
        }
        // The client may have closed its connection, and the event loop may not have read that yet. An attempt
        // would then make the backend execute a request whose response nobody reads.
        request.detectDisconnect();
        if (!request.isOpen()) {
            return Optional.empty();
        }
        return Optional.ofNullable(upstream.newAttempt(
                action.endpointId(),
                request.upstreamRequest(),
                timeoutUs,
                request::detectDisconnect,
                (outcome, latencyUs, response) ->
                        attemptEnded(request, number, action.endpointId(), outcome, latencyUs, response)));
    }

    /**
     * Returns the timeout of an attempt that starts now, in microseconds: the action's timeout, but at most the time
     * left until the request's deadline. A timeout of 0 in the action means all the time left. Returns 0 or less once
     * the deadline has passed.
     */
    private long timeoutUs(DispatchedRequest request, Action.StartAttempt action) {
        long remainingUs = request.deadlineAtUs() - clock.nowUs();
        return action.timeoutUs() == 0 ? remainingUs : Math.min(action.timeoutUs(), remainingUs);
    }

    /**
     * Returns whether another attempt is permitted: the request has had fewer than the maximum, there is time left, and
     * no other attempt is in flight unless the settings permit hedging.
     */
    private boolean isWithinLimits(DispatchedRequest request, int number, long timeoutUs) {
        return number < limits.maxAttempts() && timeoutUs > 0 && (!request.hasAttemptInFlight() || limits.hedging());
    }

    /** Cancels an attempt. Does nothing if it has already ended or the settings do not permit cancellation. */
    void cancel(Action.CancelAttempt action) {
        DispatchedRequest request = requests.find(action.requestId());
        if (request != null && limits.cancellation()) {
            request.attempt(action.attempt()).ifPresent(attempt -> attempt.abort(AttemptOutcome.CANCELLED));
        }
    }

    /**
     * Sends a successful response to the client, then reports the end of the attempt to the load balancer. Releases the
     * response if the client no longer waits for one.
     */
    private void attemptEnded(
            DispatchedRequest request,
            int number,
            String endpointId,
            AttemptOutcome outcome,
            long latencyUs,
            UpstreamResponse response) {
        counters.count(counterOf(outcome));
        executedIds.attemptEnded(request, outcome);
        request.attemptEnded();
        if (outcome == AttemptOutcome.SUCCESS && request.isOpen()) {
            requests.respond(request, sink -> sink.sendResponse(response));
        } else if (response != null) {
            response.body().release();
        }
        events.deliver(new Event.AttemptEnded(request.id(), number, endpointId, outcome, latencyUs, !request.isOpen()));
        requests.removeIfComplete(request);
    }

    private static TrafficEvent counterOf(AttemptOutcome outcome) {
        return switch (outcome) {
            case SUCCESS -> TrafficEvent.ATTEMPT_SUCCEEDED;
            case ERROR -> TrafficEvent.ATTEMPT_ERROR;
            case REJECTED -> TrafficEvent.ATTEMPT_REJECTED;
            case TIMEOUT -> TrafficEvent.ATTEMPT_TIMED_OUT;
            case CONNECT_FAILED -> TrafficEvent.ATTEMPT_CONNECT_FAILED;
            case RESET -> TrafficEvent.ATTEMPT_RESET;
            case CANCELLED -> TrafficEvent.ATTEMPT_CANCELLED;
            case NOT_SENT -> TrafficEvent.ATTEMPT_NOT_SENT;
        };
    }
}
