package gaugegw.balancer;

/**
 * Decides whether a request whose attempts have all failed is attempted again: only before its latency objective
 * passes, within the maximum number of attempts and the {@link RetryBudget}, and if {@link DuplicateExecutionGuard}
 * permits an attempt at some ready endpoint. An attempt that has timed out is not retried, because the timeout that
 * {@link AdmissionController} sets does not expire before the objective.
 */
final class RetryPolicy {
    private final int maxAttempts;
    private final EndpointMembership membership;
    private final DuplicateExecutionGuard duplicateGuard;
    private final RetryBudget budget = new RetryBudget();

    /**
     * Creates a policy with a full retry budget.
     *
     * @param maxAttempts the maximum number of attempts of one request, including the first
     */
    RetryPolicy(int maxAttempts, EndpointMembership membership, DuplicateExecutionGuard duplicateGuard) {
        this.maxAttempts = maxAttempts;
        this.membership = membership;
        this.duplicateGuard = duplicateGuard;
    }

    /** Records the arrival of a request, which adds to the retry budget. */
    void recordRequest() {
        budget.recordRequest();
    }

    /** Returns whether to retry a request whose attempts have all failed. If so, charges the retry to the budget. */
    boolean tryRetry(PendingRequest request, long nowUs) {
        boolean retry = nowUs < request.objectiveAtUs()
                && budget.permitsRetry()
                && request.attempts().size() < maxAttempts
                && hasPermittedEndpoint(request, nowUs);
        if (retry) {
            budget.recordRetry();
        }
        return retry;
    }

    /** Without a ready endpoint that may receive it, a request would only take the place of another in the queue. */
    private boolean hasPermittedEndpoint(PendingRequest request, long nowUs) {
        return membership.readyEndpoints().stream()
                .anyMatch(endpoint -> duplicateGuard.permitsAttempt(request, endpoint, nowUs));
    }
}
