package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import java.util.function.Consumer;

/**
 * Gives the final answer to a request that is not attempted any more: a rejection, which invites the client to retry,
 * where that is harmless, else a failure.
 */
final class RejectionPolicy {
    private final RetryAfter retryAfter;
    private final DuplicateExecutionGuard duplicateGuard;
    private final OutcomeRates rates;
    private final RequestRegistry registry;

    RejectionPolicy(
            RetryAfter retryAfter,
            DuplicateExecutionGuard duplicateGuard,
            OutcomeRates rates,
            RequestRegistry registry) {
        this.retryAfter = retryAfter;
        this.duplicateGuard = duplicateGuard;
        this.rates = rates;
        this.registry = registry;
    }

    /** Ends a request that is not in the queue. */
    void reject(PendingRequest request, long nowUs, Consumer<Action> actions) {
        rates.recordRejection();
        actions.accept(finalAnswer(request, nowUs));
        registry.close(request, actions);
    }

    private Action finalAnswer(PendingRequest request, long nowUs) {
        return duplicateGuard.isClientRetryHarmless(request)
                ? new Action.Reject(request.id(), retryAfter.delayUs(request, nowUs))
                : new Action.Fail(request.id());
    }
}
