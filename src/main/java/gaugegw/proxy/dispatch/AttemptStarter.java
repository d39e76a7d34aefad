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
 * Starts and cancels attempts as the load balancer demands, and reports the one end of each to it. Whatever is demanded,
 * an attempt begins only within {@link Limits} and while its client waits; one that can't begin ends as
 * {@link AttemptOutcome#NOT_SENT}. Event loop only.
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

    /** Starts an attempt, or reports at once that it could not begin; does nothing for a request that is not known. */
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

    /** Returns an attempt that is yet to be started, or empty where none may begin or the endpoint can take none. */
    private Optional<UpstreamAttempt> newAttempt(DispatchedRequest request, int number, Action.StartAttempt action) {
        long timeoutUs = timeoutUs(request, action);
        if (!request.isOpen() || !isWithinLimits(request, number, timeoutUs)) {
            return Optional.empty();
        }
        // An attempt for a client that has gone, with its close still unread, would be wasted work for the backend.
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
     * Returns the time-out of an attempt that begins now, in microseconds: never beyond the request's deadline, and up to
     * it where the action has 0. Not above 0 once the deadline has passed.
     */
    private long timeoutUs(DispatchedRequest request, Action.StartAttempt action) {
        long remainingUs = request.deadlineAtUs() - clock.nowUs();
        return action.timeoutUs() == 0 ? remainingUs : Math.min(action.timeoutUs(), remainingUs);
    }

    /** Guards against too many attempts, and against a hedged request where the settings allow none. */
    private boolean isWithinLimits(DispatchedRequest request, int number, long timeoutUs) {
        return number < limits.maxAttempts() && timeoutUs > 0 && (!request.hasAttemptInFlight() || limits.hedging());
    }

    void cancel(Action.CancelAttempt action) {
        DispatchedRequest request = requests.find(action.requestId());
        if (request != null && limits.cancellation()) {
            request.attempt(action.attempt()).ifPresent(attempt -> attempt.abort(AttemptOutcome.CANCELLED));
        }
    }

    /** Answers the client first, then reports the end. A response that no client waits for is released here. */
    private void attemptEnded(
            DispatchedRequest request,
            int number,
            String endpointId,
            AttemptOutcome outcome,
            long latencyUs,
            UpstreamResponse response) {
        request.attemptEnded();
        if (outcome == AttemptOutcome.SUCCESS && request.isOpen()) {
            requests.answer(request, sink -> sink.sendResponse(response));
        } else if (response != null) {
            response.body().release();
        }
        events.deliver(new Event.AttemptEnded(request.id(), number, endpointId, outcome, latencyUs, !request.isOpen()));
        requests.removeIfComplete(request);
    }
}
