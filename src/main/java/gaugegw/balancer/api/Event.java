package gaugegw.balancer.api;

import java.util.List;

/** Something that happened at the proxy. */
public sealed interface Event {
    /**
     * The endpoint list was received or has changed, or a call to discovery has failed.
     *
     * @param kind what the entries contain
     * @param endpoints the entries; an endpoint missing from a complete list is gone
     */
    record EndpointUpdate(UpdateKind kind, List<Endpoint> endpoints) implements Event {}

    /**
     * A request from a client has arrived. It must get exactly one final answer.
     *
     * @param requestId identifies the request; never reused
     * @param requestClass the name of its class
     * @param tenant its tenant, or null
     * @param affinityKey identifies the data that the request is about, or null; see
     *     {@link BalancerSettings#cacheAffinity}
     * @param timeoutUs time from now until the client gives up, in microseconds
     * @param retry whether the client has marked it as a retry
     */
    record RequestArrived(
            String requestId, String requestClass, String tenant, String affinityKey, long timeoutUs, boolean retry)
            implements Event {}

    /**
     * The response of an attempt has begun to stream to the client. Neither the timeout of the attempt nor that of the
     * client applies from here on.
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
     * @param requestEnded whether the request has its final answer, from this attempt or from before
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
     * The client has disconnected and needs no answer any more. Attempts in flight still end with an
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
