package gaugegw.balancer.api;

/** The state of an endpoint according to the endpoint list. */
public enum EndpointState {
    /** The endpoint may receive attempts. */
    READY,
    /** The endpoint completes its attempts in flight and must not receive new ones. */
    DRAINING,
    /** The endpoint has been removed. Appears only in {@link UpdateKind#DELTA}. */
    GONE
}
