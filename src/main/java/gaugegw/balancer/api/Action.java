package gaugegw.balancer.api;

/** Something the proxy is to do. */
public sealed interface Action {
    /** Send an attempt; the attempts of a request are numbered from 0 in the order sent. */
    record StartAttempt(String requestId, String endpointId, long timeoutUs) implements Action {}

    /** Final answer: not now, and a retry is harmless. 0: no hint when to come back. */
    record Reject(String requestId, long retryAfterUs) implements Action {}

    /** Final answer: failed, with nothing promised about its effect. */
    record Fail(String requestId) implements Action {}

    /** Stop waiting for one attempt. */
    record CancelAttempt(String requestId, int attempt) implements Action {}

    /** Close the idle connections to a backend. */
    record CloseIdleConnections(String endpointId) implements Action {}

    /** Ask for {@link TimerFired} at a time of the proxy's clock. */
    record SetTimer(long atUs, String token) implements Action {}

    /** Check a backend. */
    record CheckHealth(String endpointId) implements Action {}

    /** Ask to be told of list changes from now on, or no longer. */
    record WatchEndpoints(boolean enabled) implements Action {}

    /** Ask for the whole list once. */
    record FetchEndpoints() implements Action {}

    /** A line for the people who run the proxy. */
    record LogMessage(String text) implements Action {}
}
