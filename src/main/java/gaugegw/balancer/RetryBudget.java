package gaugegw.balancer;

/**
 * A token bucket that limits retries to a fraction of the requests. Without it, each attempt that fails under overload
 * would be followed by another one, which would multiply the overload.
 */
final class RetryBudget {
    /** The ratio of retries to arriving requests in the long run. */
    private static final double TOKENS_PER_REQUEST = 0.2;
    /** Retries that may start without new requests, such as when an endpoint with several attempts in flight fails. */
    private static final double MAX_TOKENS = 10;

    private static final double TOKENS_PER_RETRY = 1;

    private double tokens = MAX_TOKENS;

    void recordRequest() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    boolean permitsRetry() {
        return tokens >= TOKENS_PER_RETRY;
    }

    void recordRetry() {
        tokens -= TOKENS_PER_RETRY;
    }
}
