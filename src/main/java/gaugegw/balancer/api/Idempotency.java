package gaugegw.balancer.api;

/** Whether a request may be executed again. */
public enum Idempotency {
    /** A second execution is harmless. */
    IDEMPOTENT,
    /** The endpoints of one {@link DeduplicationScope} discard a repeat, for a limited time. */
    IDEMPOTENT_WITH_KEY,
    /** The request must not be executed twice. */
    NOT_IDEMPOTENT
}
