package gaugegw.balancer;

import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;

/**
 * What this proxy knows of one process behind an endpoint id; a restart under the same id gets a new record. {@link
 * EndpointMembership} sets what the list says, {@link EndpointWeights} the weight.
 */
final class EndpointRecord {
    private final String id;
    private final EndpointHealth health;
    private final EndpointLatency latency = new EndpointLatency();
    private final SlowStartTokenBucket slowStartTokens;
    private Endpoint listEntry;
    private boolean ready;
    private boolean inProxyZone;
    private double weight;
    private double virtualTime;

    /** Creates a record that is not ready, and has no weight, until the first {@link #update}. */
    EndpointRecord(Endpoint listEntry, EndpointHealth health, SlowStartTokenBucket slowStartTokens) {
        this.id = listEntry.id();
        this.listEntry = listEntry;
        this.health = health;
        this.slowStartTokens = slowStartTokens;
    }

    String id() {
        return id;
    }

    EndpointHealth health() {
        return health;
    }

    EndpointLatency latency() {
        return latency;
    }

    SlowStartTokenBucket slowStartTokens() {
        return slowStartTokens;
    }

    /** Returns the list entry in force. */
    Endpoint listEntry() {
        return listEntry;
    }

    /** Returns whether attempts may start: not once it drains, is gone, or was replaced by a restart. */
    boolean isReady() {
        return ready;
    }

    boolean isInProxyZone() {
        return inProxyZone;
    }

    /** Returns the weight; the weights of all ready endpoints add up to 1. */
    double weight() {
        return weight;
    }

    /** Returns the virtual time of the earliest-deadline order: the attempts started since the weights were set. */
    double virtualTime() {
        return virtualTime;
    }

    /** Returns the health for a flow. */
    EndpointHealth.Condition condition(int flow, long nowUs) {
        return health.condition(flow, latency.kind().meanUs(), nowUs);
    }

    /** Takes a list entry for this process. */
    void update(Endpoint entry, boolean inProxyZone, LatencyAverage kind) {
        this.listEntry = entry;
        this.inProxyZone = inProxyZone;
        this.ready = entry.state() == EndpointState.READY;
        latency.setKind(kind);
    }

    void markNotReady() {
        ready = false;
    }

    void setWeight(double weight) {
        this.weight = weight;
    }

    void resetVirtualTime() {
        virtualTime = 0;
    }

    void recordAttemptStarted(int flow, long nowUs) {
        virtualTime += 1;
        health.recordAttemptStarted(flow, nowUs);
        slowStartTokens.use();
    }
}
