package gaugegw.balancer;

/**
 * The token bucket that limits retries to a share of the requests. Without it, each failed attempt of an overload would
 * add another one and so multiply the overload.
 */
final class RetryBudget {
    /** Retries in the long run, as a share of the requests that arrive. */
    private static final double TOKENS_PER_REQUEST = 0.2;
    /** Retries that may follow one another without new requests, as when an endpoint with several attempts fails. */
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
