package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;

/** One attempt of a request, with the time-out that it was started with. */
final class AttemptRecord {
    final EndpointRecord endpoint;
    /** The list entry when the attempt started: a later one may name another zone or cell. */
    final Endpoint startedTo;

    /** On the proxy's clock, in microseconds. */
    final long startedAtUs;
    /** In microseconds. */
    final long timeoutUs;
    /** Null while the attempt is in flight. */
    AttemptOutcome outcome;

    AttemptRecord(EndpointRecord endpoint, long startedAtUs, long timeoutUs) {
        this.endpoint = endpoint;
        this.startedTo = endpoint.listed;
        this.startedAtUs = startedAtUs;
        this.timeoutUs = timeoutUs;
    }

    boolean isInFlight() {
        return outcome == null;
    }
}
