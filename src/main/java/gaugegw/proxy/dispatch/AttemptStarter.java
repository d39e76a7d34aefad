package gaugegw.proxy.dispatch;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Limits;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.upstream.UpstreamAttempt;
import gaugegw.proxy.upstream.UpstreamClient;
import gaugegw.proxy.upstream.UpstreamResponse;
import java.util.Optional;

/**
 * Starts and cancels attempts when the load balancer asks for it, and reports the end of each attempt to it once. An
 * attempt starts only if {@link Limits} permit it, the client still waits for its response and the endpoint accepts it.
 * Otherwise it ends at once with {@link AttemptOutcome#NOT_SENT}. Used on the event loop only.
 */
final class AttemptStarter {
    private final Clock clock;
    private final Limits limits;
    private final EventQueue events;
    private final RequestTable requests;
    private final UpstreamClient upstream;

    AttemptStarter(Clock clock, Limits limits, EventQueue events, RequestTable requests, UpstreamClient upstream) {
        this.clock = clock;
        this.limits = limits;
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
            events.deliver(new Event.AttemptEnded(
                    request.id(), number, action.endpointId(), AttemptOutcome.NOT_SENT, 0, !request.isOpen()));
        }
    }

    /**
     * Creates an attempt without starting it. Returns empty if the limits permit no further attempt, the client has
     * disconnected, or the endpoint accepts none.
     */
    private Optional<UpstreamAttempt> newAttempt(DispatchedRequest request, int number, Action.StartAttempt action) {
        long timeoutUs = timeoutUs(request, action);
        if (!request.isOpen() || !isWithinLimits(request, number, timeoutUs)) {
            return Optional.empty();
        }
        // The client may have closed its connection without the event loop having read that yet. An attempt would then
        // be wasted work for the backend.
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
     * left until the request's deadline. A timeout of 0 in the action stands for all the time left. Returns 0 or less
     * once the deadline has passed.
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

    void cancel(Action.CancelAttempt action) {
        DispatchedRequest request = requests.find(action.requestId());
        if (request != null && limits.cancellation()) {
            request.attempt(action.attempt()).ifPresent(attempt -> attempt.abort(AttemptOutcome.CANCELLED));
        }
    }

    /**
     * Responds to the client first, then reports the end of the attempt. Releases the response if the client no longer
     * waits for one.
     */
    private void attemptEnded(
            DispatchedRequest request,
            int number,
            String endpointId,
            AttemptOutcome outcome,
            long latencyUs,
            UpstreamResponse response) {
        request.attemptEnded();
        if (outcome == AttemptOutcome.SUCCESS && request.isOpen()) {
            requests.respond(request, sink -> sink.sendResponse(response));
        } else if (response != null) {
            response.body().release();
        }
        events.deliver(new Event.AttemptEnded(request.id(), number, endpointId, outcome, latencyUs, !request.isOpen()));
        requests.removeIfComplete(request);
    }
}
