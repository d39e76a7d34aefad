package gaugegw.balancer.testing;

import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;

/** Builds an endpoint. The defaults are: ready, kind "std", zone "a", cell 1, weight 1, started long ago. */
public final class EndpointBuilder {
    private final String id;
    private EndpointState state = EndpointState.READY;
    private String kind = "std";
    private String zone = "a";
    private int cell = 1;
    private long startedAtUs;
    private double weight = 1;

    EndpointBuilder(String id) {
        this.id = id;
    }

    public EndpointBuilder state(EndpointState value) {
        state = value;
        return this;
    }

    public EndpointBuilder kind(String value) {
        kind = value;
        return this;
    }

    public EndpointBuilder zone(String value) {
        zone = value;
        return this;
    }

    public EndpointBuilder cell(int value) {
        cell = value;
        return this;
    }

    /** Sets the time of the latest start; 0 stands for long ago. */
    public EndpointBuilder startedAtUs(long value) {
        startedAtUs = value;
        return this;
    }

    public EndpointBuilder weight(double value) {
        weight = value;
        return this;
    }

    public Endpoint build() {
        return new Endpoint(id, state, kind, zone, cell, startedAtUs, weight);
    }
}
