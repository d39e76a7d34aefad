package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import java.util.function.Consumer;

/**
 * Chooses the final answer for a request that will not be attempted again: a rejection, which invites the client to
 * retry, if a retry is harmless, and otherwise a failure.
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

    /** Emits the final answer for a request that is not in the queue, and completes the request. */
    void rejectOrFail(PendingRequest request, long nowUs, Consumer<Action> actions) {
        rates.recordRejection();
        actions.accept(finalAnswer(request, nowUs));
        registry.complete(request, actions);
    }

    private Action finalAnswer(PendingRequest request, long nowUs) {
        return duplicateGuard.isClientRetryHarmless(request)
                ? new Action.Reject(request.id(), retryAfter.delayUs(request, nowUs))
                : new Action.Fail(request.id());
    }
}
