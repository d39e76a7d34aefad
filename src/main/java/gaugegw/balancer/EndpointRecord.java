package gaugegw.balancer;

import gaugegw.balancer.api.Endpoint;

/**
 * What this proxy knows of one process behind an endpoint id; a restart under the same id gets a new record. The
 * membership sets what the list says, {@link EndpointWeights} the weight.
 */
final class EndpointRecord {
    final String id;
    final EndpointHealth health;
    final EndpointLatency latency = new EndpointLatency();
    final SlowStartAllowance slowStartAllowance;
    /** The list entry in force. */
    Endpoint listed;
    /** Whether attempts may start: not once it drains, is gone, or was replaced by a restart. */
    boolean ready;

    /** Whether the endpoint is in the zone of this proxy. */
    boolean inProxyZone;
    /** The weights of all ready endpoints add up to 1. */
    double weight;
    /** Virtual time of the earliest-deadline order: attempts started since the weights were set. */
    double virtualTime;

    EndpointRecord(Endpoint listed, EndpointHealth health, SlowStartAllowance slowStartAllowance) {
        this.id = listed.id();
        this.listed = listed;
        this.health = health;
        this.slowStartAllowance = slowStartAllowance;
    }

    void attemptStarted(int flow, long nowUs) {
        virtualTime += 1;
        health.attemptStarted(flow, nowUs);
        slowStartAllowance.use();
    }
}
