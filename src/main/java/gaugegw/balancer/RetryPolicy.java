package gaugegw.balancer;

/** Decides whether a request is attempted again. A token bucket keeps retries from multiplying an overload. */
final class RetryPolicy {
    private static final double TOKENS_PER_REQUEST = 0.2;
    private static final double MAX_TOKENS = 10;

    private final int maxAttempts;
    private final EndpointMembership membership;
    private final DuplicateExecutionGuard duplicateGuard;
    private double tokens = MAX_TOKENS;

    RetryPolicy(int maxAttempts, EndpointMembership membership, DuplicateExecutionGuard duplicateGuard) {
        this.maxAttempts = maxAttempts;
        this.membership = membership;
        this.duplicateGuard = duplicateGuard;
    }

    void recordRequest() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /** Returns whether to retry a request whose attempts have all failed, and if so takes a token. */
    boolean tryRetry(PendingRequest request, long nowUs) {
        boolean retry = nowUs < request.objectiveAtUs()
                && tokens >= 1
                && request.attempts().size() < maxAttempts
                // Queued without an endpoint that may receive it, it would only take the place of another.
                && membership.ready().stream().anyMatch(e -> duplicateGuard.permitsAttempt(request, e, nowUs));
        tokens -= retry ? 1 : 0;
        return retry;
    }
}
