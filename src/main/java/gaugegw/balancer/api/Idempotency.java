package gaugegw.balancer.api;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** A second execution is harmless. */
    IDEMPOTENT,
    /** The request has an idempotency key: for a limited time, the endpoints of a scope discard repeats of it. */
    IDEMPOTENT_WITH_KEY,
    /** The request must not be executed twice. */
    NOT_IDEMPOTENT
}
