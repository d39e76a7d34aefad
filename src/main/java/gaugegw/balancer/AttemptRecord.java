package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;

/** One attempt of a request, with the time-out that it was started with. */
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
     * @param startedAtUs now, on the proxy's clock, in microseconds
     * @param timeoutUs after which the attempt ends without an answer, in microseconds
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

    /** Returns the list entry when the attempt started: a later one may name another zone or cell. */
    Endpoint listEntryAtStart() {
        return listEntryAtStart;
    }

    /** Returns the start on the proxy's clock, in microseconds. */
    long startedAtUs() {
        return startedAtUs;
    }

    /** Returns the time-out, in microseconds from the start. */
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
