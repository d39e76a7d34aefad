package gaugegw.balancer.api;

/**
 * Which endpoints share the idempotency keys that they have seen, and so discard repeats of an {@link
 * Idempotency#IDEMPOTENT_WITH_KEY} request that another of them has executed.
 */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL
}
