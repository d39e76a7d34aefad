package gaugegw.balancer;

/**
 * Decides whether a request whose attempts have all failed is attempted again: before its latency objective passes,
 * within the limit of attempts and the {@link RetryBudget}, and where {@link DuplicateExecutionGuard} permits a repeat. An
 * attempt that has timed out is not retried: its time-out, set by {@link AdmissionController}, lies past the objective.
 */
final class RetryPolicy {
    private final int maxAttempts;
    private final EndpointMembership membership;
    private final DuplicateExecutionGuard duplicateGuard;
    private final RetryBudget budget = new RetryBudget();

    /**
     * Creates a policy with a full retry budget.
     *
     * @param maxAttempts the most attempts of one request, the first included
     */
    RetryPolicy(int maxAttempts, EndpointMembership membership, DuplicateExecutionGuard duplicateGuard) {
        this.maxAttempts = maxAttempts;
        this.membership = membership;
        this.duplicateGuard = duplicateGuard;
    }

    /** Takes the arrival of a request, which adds to the retry budget. */
    void recordRequest() {
        budget.recordRequest();
    }

    /** Returns whether to retry a request whose attempts have all failed, and if so takes it from the budget. */
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

    /** A request queued without an endpoint that may receive it would only take the place of another. */
    private boolean hasPermittedEndpoint(PendingRequest request, long nowUs) {
        return membership.readyEndpoints().stream()
                .anyMatch(endpoint -> duplicateGuard.permitsAttempt(request, endpoint, nowUs));
    }
}
