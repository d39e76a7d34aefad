package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;

/** One attempt of a request at an endpoint. */
final class AttemptRecord {
    private final EndpointRecord endpoint;
    private final Endpoint listEntryAtStart;
    private final long startedAtUs;
    private final long timeoutUs;
    /** Null while the attempt is in flight. */
    private AttemptOutcome outcome;

    /**
     * Creates the record of an attempt that starts now.
     *
     * @param startedAtUs the current time on the proxy's clock, in microseconds
     * @param timeoutUs time from the start after which the attempt ends without a response, in microseconds
     */
    AttemptRecord(EndpointRecord endpoint, long startedAtUs, long timeoutUs) {
        this.endpoint = endpoint;
        this.listEntryAtStart = endpoint.listEntry();
        this.startedAtUs = startedAtUs;
        this.timeoutUs = timeoutUs;
    }

    EndpointRecord endpoint() {
        return endpoint;
    }

    /**
     * Returns the endpoint's list entry at the start of the attempt. A later entry may have a different zone or cell,
     * which matters for deduplication.
     */
    Endpoint listEntryAtStart() {
        return listEntryAtStart;
    }

    /** Returns when the attempt started, on the proxy's clock in microseconds. */
    long startedAtUs() {
        return startedAtUs;
    }

    /** Returns the timeout, in microseconds from the start. */
    long timeoutUs() {
        return timeoutUs;
    }

    /** Returns how the attempt ended, or null while it is in flight. */
    AttemptOutcome outcome() {
        return outcome;
    }

    boolean isInFlight() {
        return outcome == null;
    }

    void recordOutcome(AttemptOutcome outcome) {
        this.outcome = outcome;
    }
}
