package gaugegw.balancer.api;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** A second execution is harmless. */
    IDEMPOTENT,
    /**
     * The request has an idempotency key, by which endpoints discard repeats. Which endpoints do so, and for how long,
     * is set by {@link RequestClass#deduplicationScope} and {@link RequestClass#deduplicationWindowUs}.
     */
    IDEMPOTENT_WITH_KEY,
    /** The request must not be executed twice. */
    NOT_IDEMPOTENT
}
