package gaugegw.balancer.api;

import java.util.List;

/** An event that the proxy reports to its load balancer. */
public sealed interface Event {
    /**
     * The endpoint list was received or has changed, a call to discovery has failed, or a watch has ended.
     *
     * @param kind whether the entries are a complete list, changes, or none because of a failure
     * @param endpoints the entries; an endpoint that is missing from a complete list has been removed
     */
    record EndpointUpdate(UpdateKind kind, List<Endpoint> endpoints) implements Event {}

    /**
     * A request from a client has arrived. It must get exactly one final answer, unless the client disconnects first.
     *
     * @param requestId identifies the request; never reused
     * @param requestClass the name of its class
     * @param tenant the name of its tenant, which need not be in the settings, or null
     * @param affinityKey identifies the data that the request uses, or null; see {@link BalancerSettings#cacheAffinity}
     * @param timeoutUs the time until the client gives up, from now, in microseconds
     * @param retry whether the client has marked it as a retry
     */
    record RequestArrived(
            String requestId, String requestClass, String tenant, String affinityKey, long timeoutUs, boolean retry)
            implements Event {}

    /**
     * The response of an attempt has begun to stream to the client. From then on, neither the timeout of the attempt
     * nor that of the client applies.
     *
     * @param requestId the request of the attempt
     * @param attempt number of the attempt, from 0
     */
    record StreamStarted(String requestId, int attempt) implements Event {}

    /**
     * An attempt has ended. Each {@link Action.StartAttempt} is followed by one such event.
     *
     * @param requestId the request of the attempt
     * @param attempt number of the attempt, from 0
     * @param endpointId the endpoint of the attempt
     * @param outcome how the attempt ended
     * @param latencyUs time since the attempt started, in microseconds
     * @param requestEnded whether the request has ended: it has its final answer, or its client has disconnected
     */
    record AttemptEnded(
            String requestId,
            int attempt,
            String endpointId,
            AttemptOutcome outcome,
            long latencyUs,
            boolean requestEnded)
            implements Event {}

    /**
     * The client has disconnected, so its request no longer needs an answer. Attempts in flight still end with an
     * {@link AttemptEnded}.
     *
     * @param requestId the client's request
     */
    record ClientDisconnected(String requestId) implements Event {}

    /**
     * A timer has fired.
     *
     * @param token the token from the {@link Action.SetTimer}
     */
    record TimerFired(String token) implements Event {}

    /**
     * A health check has ended.
     *
     * @param endpointId the endpoint that was checked
     * @param outcome {@link AttemptOutcome#SUCCESS}, or how it failed
     * @param latencyUs time since the health check started, in microseconds
     */
    record HealthCheckEnded(String endpointId, AttemptOutcome outcome, long latencyUs) implements Event {}
}
