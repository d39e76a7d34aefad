package gaugegw.balancer.api;

/**
 * Something that the proxy is to do. Each request gets exactly one final answer: the first successful attempt, which the
 * proxy forwards by itself, or a {@link Reject} or {@link Fail}.
 */
public sealed interface Action {
    /**
     * Start an attempt of a request. The attempts of a request are numbered from 0 in the order started, and each ends
     * with one {@link Event.AttemptEnded}.
     *
     * @param requestId the request, as named by its {@link Event.RequestArrived}
     * @param endpointId the endpoint, as named by the endpoint list
     * @param timeoutUs the attempt's time-out in microseconds; cut to the client's own time-out where that is sooner
     */
    record StartAttempt(String requestId, String endpointId, long timeoutUs) implements Action {}

    /**
     * Final answer: rejected, and a retry by the client is harmless.
     *
     * @param requestId the request that is answered
     * @param retryAfterUs how long the client should wait before a retry, in microseconds; 0 gives no advice
     */
    record Reject(String requestId, long retryAfterUs) implements Action {}

    /**
     * Final answer: failed. The request may have taken effect.
     *
     * @param requestId the request that is answered
     */
    record Fail(String requestId) implements Action {}

    /**
     * Stop waiting for an attempt. It still ends with one {@link Event.AttemptEnded}.
     *
     * @param requestId the request of the attempt
     * @param attempt number of the attempt, from 0
     */
    record CancelAttempt(String requestId, int attempt) implements Action {}

    /**
     * Close the idle connections to an endpoint.
     *
     * @param endpointId the endpoint, which may have left the list
     */
    record CloseIdleConnections(String endpointId) implements Action {}

    /**
     * Deliver a {@link Event.TimerFired}. Timers cannot be cancelled.
     *
     * @param atUs when the timer is due, on the proxy's clock in microseconds
     * @param token returned with the event
     */
    record SetTimer(long atUs, String token) implements Action {}

    /**
     * Check the health of an endpoint; ends with one {@link Event.HealthCheckEnded}.
     *
     * @param endpointId the endpoint to check
     */
    record CheckHealth(String endpointId) implements Action {}

    /**
     * Begin or end a watch of the endpoint list. The call may fail, see {@link UpdateKind#POLL_FAILED}.
     *
     * @param enabled whether changes are to be delivered from now on
     */
    record WatchEndpoints(boolean enabled) implements Action {}

    /** Fetch the complete endpoint list once. The call may fail, see {@link UpdateKind#POLL_FAILED}. */
    record FetchEndpoints() implements Action {}

    /**
     * Write a line to the proxy's log.
     *
     * @param text the line, without a line break
     */
    record LogMessage(String text) implements Action {}
}
