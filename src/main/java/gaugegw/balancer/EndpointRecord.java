package gaugegw.balancer;

import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;

/**
 * What this proxy knows of one process behind an endpoint id. A restart under the same id gets a new record: what was
 * seen of the earlier process says nothing about the new one.
 */
final class EndpointRecord {
    private final String id;
    private final EndpointHealth health;
    private final EndpointLatency latency;
    private final SlowStartAllowance slowStartAllowance;
    private Endpoint listed;
    private boolean ready;
    private boolean inProxyZone;
    private double weight;
    private double virtualTime;

    EndpointRecord(
            Endpoint listed, EndpointHealth health, EndpointLatency latency, SlowStartAllowance slowStartAllowance) {
        this.id = listed.id();
        this.listed = listed;
        this.health = health;
        this.latency = latency;
        this.slowStartAllowance = slowStartAllowance;
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

    SlowStartAllowance slowStartAllowance() {
        return slowStartAllowance;
    }

    /** Returns the entry of the endpoint list that is in force. */
    Endpoint listed() {
        return listed;
    }

    /** Takes an entry of the endpoint list for the same process. */
    void update(Endpoint entry, boolean inZoneOfProxy) {
        listed = entry;
        inProxyZone = inZoneOfProxy;
        ready = entry.state() == EndpointState.READY;
    }

    /** Returns whether attempts may start: false once the endpoint drains, is gone, or its process was replaced. */
    boolean isReady() {
        return ready;
    }

    void markNotReady() {
        ready = false;
    }

    boolean isInProxyZone() {
        return inProxyZone;
    }

    /** Returns the weight; those of all ready endpoints add up to 1. */
    double weight() {
        return weight;
    }

    void setWeight(double weight) {
        this.weight = weight;
    }

    /** Returns the virtual time of the earliest-deadline order: the attempts started since the weights were set. */
    double virtualTime() {
        return virtualTime;
    }

    void advanceVirtualTime() {
        virtualTime += 1;
    }

    void resetVirtualTime() {
        virtualTime = 0;
    }
}
