package gaugegw.balancer.api;

/** The state of an endpoint, as the endpoint list has it. */
public enum EndpointState {
    /** It may receive attempts. */
    READY,
    /** It completes its work; no attempt may start. */
    DRAINING,
    /** It is removed; appears in changes only. */
    GONE
}
