package gaugegw.balancer.api;

/** The endpoints that discard repeats of an {@link Idempotency#IDEMPOTENT_WITH_KEY} request together. */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL
}
