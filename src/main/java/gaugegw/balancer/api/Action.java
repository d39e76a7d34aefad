package gaugegw.balancer.api;

/**
 * An instruction to the proxy. Each request gets exactly one final answer: the response of its first successful
 * attempt, which the proxy forwards without an action, or else a {@link Reject} or a {@link Fail}.
 */
public sealed interface Action {
    /**
     * Starts an attempt of a request. The attempts of a request are numbered from 0 in the order in which they start,
     * and each ends with one {@link Event.AttemptEnded}.
     *
     * @param requestId the id from the {@link Event.RequestArrived} of the request
     * @param endpointId the id from the endpoint list
     * @param timeoutUs the timeout of the attempt, in microseconds; the client's timeout applies if it expires earlier
     */
    record StartAttempt(String requestId, String endpointId, long timeoutUs) implements Action {}

    /**
     * Sends the final answer of a request: it is rejected, and a retry by the client is harmless.
     *
     * @param requestId the request that is answered
     * @param retryAfterUs how long the client should wait before a retry, in microseconds; 0 for no advice
     */
    record Reject(String requestId, long retryAfterUs) implements Action {}

    /**
     * Sends the final answer of a request: it has failed, and may have taken effect.
     *
     * @param requestId the request that is answered
     */
    record Fail(String requestId) implements Action {}

    /**
     * Cancels an attempt. It still ends with one {@link Event.AttemptEnded}.
     *
     * @param requestId the request of the attempt
     * @param attempt number of the attempt, from 0
     */
    record CancelAttempt(String requestId, int attempt) implements Action {}

    /**
     * Closes the idle connections to an endpoint.
     *
     * @param endpointId the endpoint, which may no longer be in the endpoint list
     */
    record CloseIdleConnections(String endpointId) implements Action {}

    /**
     * Sets a timer, which causes one {@link Event.TimerFired}. Timers cannot be cancelled.
     *
     * @param atUs when the timer fires, on the proxy's clock in microseconds
     * @param token identifies the purpose of the timer; returned with the event
     */
    record SetTimer(long atUs, String token) implements Action {}

    /**
     * Checks the health of an endpoint. The check ends with one {@link Event.HealthCheckEnded}.
     *
     * @param endpointId the endpoint to check
     */
    record CheckHealth(String endpointId) implements Action {}

    /**
     * Begins or ends a watch of the endpoint list. The call may fail, see {@link UpdateKind#POLL_FAILED}.
     *
     * @param enabled whether changes of the list are to be delivered from now on
     */
    record WatchEndpoints(boolean enabled) implements Action {}

    /** Fetches the complete endpoint list once. The call may fail, see {@link UpdateKind#POLL_FAILED}. */
    record FetchEndpoints() implements Action {}

    /**
     * Writes a line to the proxy's log.
     *
     * @param text the line, without a line break
     */
    record LogMessage(String text) implements Action {}
}
