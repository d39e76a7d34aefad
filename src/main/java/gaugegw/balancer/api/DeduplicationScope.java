package gaugegw.balancer.api;

/** The backends that discard repeats of a {@link Idempotency#IDEMPOTENT_WITH_KEY} request together. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
