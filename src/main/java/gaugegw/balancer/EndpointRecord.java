package gaugegw.balancer;

import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;

/**
 * The state that this proxy keeps for an endpoint: its list entry, health, latency, weight and virtual time. The record
 * stands for one process; if the process restarts under the same id, it gets a new record. {@link EndpointMembership}
 * applies list entries, {@link EndpointWeights} sets the weight and resets the virtual time.
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

    /** Creates a record that is not ready until the first {@link #update} and has no weight yet. */
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

    /** Returns the latest list entry. */
    Endpoint listEntry() {
        return listEntry;
    }

    /** Returns whether attempts may start, that is, unless the endpoint drains, is gone or has restarted. */
    boolean isReady() {
        return ready;
    }

    boolean isInProxyZone() {
        return inProxyZone;
    }

    /** Returns the weight in the selection order. The weights of all ready endpoints add up to 1. */
    double weight() {
        return weight;
    }

    /** Returns the virtual time: the number of attempts started since the last refresh of the weights. */
    double virtualTime() {
        return virtualTime;
    }

    /** Returns the condition of the endpoint for a flow. */
    EndpointHealth.Condition condition(int flow, long nowUs) {
        return health.condition(flow, latency.kindAverage().meanUs(), nowUs);
    }

    /**
     * Applies a list entry for this process.
     *
     * @param kindAverage the average latency of the endpoint's kind
     */
    void update(Endpoint entry, boolean inProxyZone, LatencyAverage kindAverage) {
        this.listEntry = entry;
        this.inProxyZone = inProxyZone;
        this.ready = entry.state() == EndpointState.READY;
        latency.setKindAverage(kindAverage);
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

    /** Records the start of an attempt at this endpoint. */
    void recordAttemptStarted(int flow, long nowUs) {
        virtualTime += 1;
        health.recordAttemptStarted(flow, nowUs);
        slowStartTokens.takeToken();
    }
}
