package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;

/** One attempt of a request, in flight until its outcome is set. */
final class AttemptRecord {
    private final EndpointRecord endpoint;
    private final Endpoint startedTo;
    private final long startedAtUs;
    private final long timeoutUs;
    private AttemptOutcome outcome;

    /**
     * Creates a record of an attempt in flight.
     *
     * @param timeoutUs the time-out that it was started with, in microseconds
     */
    AttemptRecord(EndpointRecord endpoint, long startedAtUs, long timeoutUs) {
        this.endpoint = endpoint;
        this.startedTo = endpoint.listed();
        this.startedAtUs = startedAtUs;
        this.timeoutUs = timeoutUs;
    }

    EndpointRecord endpoint() {
        return endpoint;
    }

    /** Returns the endpoint's list entry as it was when the attempt started; a later update may change zone or cell. */
    Endpoint startedTo() {
        return startedTo;
    }

    long startedAtUs() {
        return startedAtUs;
    }

    long timeoutUs() {
        return timeoutUs;
    }

    boolean isInFlight() {
        return outcome == null;
    }

    /** Returns the outcome, or null while the attempt is in flight. */
    AttemptOutcome outcome() {
        return outcome;
    }

    void end(AttemptOutcome endedWith) {
        outcome = endedWith;
    }
}
