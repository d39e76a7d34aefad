package gaugegw.balancer.api;

import java.util.List;

/** Something that happened at the proxy. */
public sealed interface Event {
    /**
     * The endpoint list, or a change of it.
     *
     * @param kind what the entries are
     * @param endpoints the entries; an endpoint missing from a complete list is gone
     */
    record EndpointUpdate(UpdateKind kind, List<Endpoint> endpoints) implements Event {}

    /**
     * A client's request. From here on, one final answer is owed.
     *
     * @param requestId names the request; never used again
     * @param requestClass the name of its class
     * @param tenant its tenant, or null
     * @param affinityKey what the request is about, or null; see {@link BalancerSettings#cacheAffinity}
     * @param timeoutUs time until the client gives up, in microseconds
     * @param retry whether the client has marked it as a retry
     */
    record RequestArrived(
            String requestId, String requestClass, String tenant, String affinityKey, long timeoutUs, boolean retry)
            implements Event {}

    /**
     * An answer has begun to stream: neither the attempt's time-out nor the client's applies any more.
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
     * @param outcome how it ended
     * @param latencyUs time since its start, in microseconds
     * @param requestEnded whether the request has its final answer, by this event or before
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
     * The client has disconnected; no answer is owed any more. Attempts in flight still end.
     *
     * @param requestId the client's request
     */
    record ClientDisconnected(String requestId) implements Event {}

    /**
     * A timer is due.
     *
     * @param token as given with {@link Action.SetTimer}
     */
    record TimerFired(String token) implements Event {}

    /**
     * A health check has ended.
     *
     * @param endpointId the endpoint that was checked
     * @param outcome {@link AttemptOutcome#SUCCESS}, or how it failed
     * @param latencyUs time since its start, in microseconds
     */
    record HealthCheckEnded(String endpointId, AttemptOutcome outcome, long latencyUs) implements Event {}
}
