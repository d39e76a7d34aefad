package gaugegw.balancer.api;

import java.util.List;

/** Something that happened to the proxy. */
public sealed interface Event {
    /** News of the server list. A backend missing from a full list is gone. */
    record EndpointUpdate(UpdateKind kind, List<Endpoint> endpoints) implements Event {}

    /** A client's request; {@code key} and {@code tenant} may be null, {@code leftUs} is the client's patience. */
    record RequestArrived(
            String requestId, String requestClass, String tenant, String key, long timeoutUs, boolean retry)
            implements Event {}

    /** An answer has begun to stream: the attempt is the client's from here on. */
    record StreamStarted(String requestId, int attempt) implements Event {}

    /** The one end of an attempt. {@code last}: the request is over, by this or earlier. */
    record AttemptEnded(
            String requestId,
            int attempt,
            String endpointId,
            AttemptOutcome outcome,
            long latencyUs,
            boolean requestEnded)
            implements Event {}

    /** The client has left; nothing more is owed. */
    record ClientDisconnected(String requestId) implements Event {}

    /** A timer set earlier is due. */
    record TimerFired(String token) implements Event {}

    /** The result of a probe. */
    record HealthCheckEnded(String endpointId, AttemptOutcome outcome, long latencyUs) implements Event {}
}
