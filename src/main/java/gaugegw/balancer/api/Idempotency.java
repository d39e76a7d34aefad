package gaugegw.balancer.api;

/** What a request may have done when it is sent twice. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NOT_IDEMPOTENT
}
