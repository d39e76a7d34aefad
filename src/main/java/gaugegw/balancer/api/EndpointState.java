package gaugegw.balancer.api;

/** What the server list says of a backend. */
public enum EndpointState {
    READY,
    DRAINING,
    GONE
}
