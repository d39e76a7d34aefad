package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.DeduplicationScope;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.RequestClass;

/**
 * Prevents a request from taking effect twice. The invariant: once an attempt may have been executed, another attempt
 * starts, or the client is invited to retry, only if the request is idempotent or the endpoint that receives the repeat
 * discards it.
 */
final class DuplicateExecutionGuard {
    private final BalancerSettings settings;

    DuplicateExecutionGuard(BalancerSettings settings) {
        this.settings = settings;
    }

    /** Returns whether an attempt of a request may start at an endpoint now. */
    boolean permitsAttempt(PendingRequest request, EndpointRecord endpoint, long nowUs) {
        RequestClass requestClass = request.requestClass();
        return request.attempts().isEmpty()
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.attempts().stream()
                        .allMatch(earlier ->
                                !mayHaveExecuted(earlier) || isDeduplicated(requestClass, earlier, endpoint, nowUs));
    }

    /** Returns whether a retry by the client is harmless at any proxy and any endpoint. */
    boolean isClientRetryHarmless(PendingRequest request) {
        RequestClass requestClass = request.requestClass();
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL)
                || request.attempts().stream().noneMatch(this::mayHaveExecuted);
    }

    /** Returns whether the endpoint may have executed an attempt, or may yet. */
    private boolean mayHaveExecuted(AttemptRecord attempt) {
        return attempt.isInFlight() || settings.safetyLimits().mayHaveExecuted(attempt.outcome());
    }

    /**
     * Returns whether an endpoint discards a repeat of an earlier attempt. The deduplication window begins when the
     * earlier attempt starts, and must not end before the repeat arrives, which may take the whole connect timeout.
     */
    private boolean isDeduplicated(
            RequestClass requestClass, AttemptRecord earlier, EndpointRecord endpoint, long nowUs) {
        long latestStartUs = nowUs + settings.limits().connectTimeoutUs();
        return requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                && latestStartUs < earlier.startedAtUs() + requestClass.deduplicationWindowUs()
                && sharesScope(requestClass.deduplicationScope(), earlier.listEntryAtStart(), endpoint.listEntry());
    }

    /**
     * Returns whether two endpoints share their idempotency keys. With {@link DeduplicationScope#ZONE}, an endpoint of
     * unknown zone is assumed to share none, not even with itself. Cells are compared by number alone, without their
     * zones.
     */
    private static boolean sharesScope(DeduplicationScope scope, Endpoint first, Endpoint second) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> String.valueOf(first.zone()).equals(second.zone());
            case CELL -> first.cell() == second.cell();
        };
    }
}
